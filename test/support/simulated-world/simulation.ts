/** What all parts of the world share: the clock, drawn numbers, messages under way, findings. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ReplyTicket } from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import { createCounters } from './counters.js';
import type { WorldOptions } from './settings.js';

/** What is under way, and when it arrives. */
interface Message {
  readonly at: number;
  readonly act: () => void;
}

/** Clock, random numbers and messages; the order of draws makes a history, so it must not change. */
export class Simulation {
  /** The steady clock, in milliseconds. */
  now = 0;
  /** Broken rules: the world stops at the first. */
  readonly problems: string[] = [];
  readonly counters = createCounters();
  /** Every job that was ever submitted. */
  readonly specs = new Map<string, JobSpec>();
  /** Jobs whose tasks end in error wherever they run. */
  readonly failingJobs = new Set<string>();
  /** Until when each fault of the cloud and the key-value store lasts. */
  readonly faultTimes = {
    cloudDownUntil: 0,
    /** The cloud refuses to provision. */
    noCapacityUntil: 0,
    /** Machines that are provisioned never come up. */
    bootFaultsUntil: 0,
    storeDownUntil: 0,
    storeSlowUntil: 0,
    /** Some transactions are carried out late, or at once with their answer late. */
    lateWritesUntil: 0,
    /** Between the store's refusal of one leader and its outage for all. */
    refusalGapUntil: 0,
  };
  /** When all controllers have this version; both versions take turns before. */
  readonly upgradedAt: number;
  /** When the limits of the key-value store fall. */
  readonly limitsReducedAt: number;
  private readonly rng;
  private messages: Message[] = [];
  private lastTicket = 0;

  constructor(
    seed: number,
    readonly options: WorldOptions,
  ) {
    this.rng = xoroshiro128plus(seed);
    this.upgradedAt = options.bothVersions === false ? -1 : this.int(0, 90_000);
    this.limitsReducedAt = this.upgradedAt + this.int(0, 40_000);
  }

  /** Draws a whole number between two, both included. */
  int(low: number, high: number): number {
    return uniformInt(this.rng, low, high);
  }

  /** True in so many of a hundred draws. */
  chance(percent: number): boolean {
    return this.int(1, 100) <= percent;
  }

  /** Draws a network delay: mostly short, now and then held up for a while. */
  delay(): number {
    return this.chance(4) ? this.int(500, 9000) : this.int(1, 40);
  }

  /** Does something after a delay. */
  after(delay: number, act: () => void): void {
    this.messages.push({ at: this.now + delay, act });
  }

  /** Does what is due, in the order of its times. */
  deliverDue(): void {
    const due = this.messages.filter((m) => m.at <= this.now).sort((a, b) => a.at - b.at);
    this.messages = this.messages.filter((m) => m.at > this.now);
    for (const { act } of due) act();
  }

  /** A ticket that was not given before. */
  nextTicket(): ReplyTicket {
    this.lastTicket += 1;
    return this.lastTicket as ReplyTicket;
  }

  /** The spec of a job that was submitted. */
  specOf(id: string): JobSpec {
    const spec = this.specs.get(id);
    if (!spec) throw new Error(`no job ${id}`);
    return spec;
  }

  /** Whether a job is a service. */
  isService(id: string): boolean {
    return this.specOf(id).shape === 'service';
  }
}
