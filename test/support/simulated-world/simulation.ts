/** State that all parts of the world share: clock, random numbers, messages and problems. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ReplyTicket } from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';
import { createCounters } from './counters.js';
import type { WorldOptions } from './settings.js';

/** A scheduled action, such as the delivery of a message. */
interface Message {
  readonly at: number;
  readonly act: () => void;
}

/** Clock, random numbers and messages; the order of draws determines a history: keep it. */
export class Simulation {
  /** The monotonic clock, in milliseconds. */
  now = 0;
  /** Violated rules: the world stops at the first. */
  readonly problems: string[] = [];
  readonly counters = createCounters();
  /** All jobs that were ever submitted. */
  readonly specs = new Map<string, JobSpec>();
  /** Jobs whose tasks end in error on every machine. */
  readonly failingJobs = new Set<string>();
  /** When each fault of the cloud and the key-value store ends. */
  readonly faultTimes = {
    cloudDownUntil: 0,
    /** The cloud rejects provision requests. */
    noCapacityUntil: 0,
    /** Provisioned machines never boot. */
    bootFaultsUntil: 0,
    storeDownUntil: 0,
    storeSlowUntil: 0,
    /** Some transactions, or just their answers, are late. */
    lateWritesUntil: 0,
    /** From the store's rejection of one leader to its outage for all. */
    refusalGapUntil: 0,
  };
  /** When all controllers run the current version; until then either version may lead. */
  readonly upgradedAt: number;
  /** When the limits of the key-value store are reduced. */
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

  /** Draws an integer from `low` to `high`, both included. */
  int(low: number, high: number): number {
    return uniformInt(this.rng, low, high);
  }

  /** Draws true with a probability of `percent`. */
  chance(percent: number): boolean {
    return this.int(1, 100) <= percent;
  }

  /** Draws a network delay: mostly short, sometimes seconds. */
  delay(): number {
    return this.chance(4) ? this.int(500, 9000) : this.int(1, 40);
  }

  /** Schedules an action after a delay. */
  after(delay: number, act: () => void): void {
    this.messages.push({ at: this.now + delay, act });
  }

  /** Runs the due actions in the order of their times. */
  deliverDue(): void {
    const due = this.messages.filter((m) => m.at <= this.now).sort((a, b) => a.at - b.at);
    this.messages = this.messages.filter((m) => m.at > this.now);
    for (const { act } of due) act();
  }

  /** Returns an unused ticket. */
  nextTicket(): ReplyTicket {
    this.lastTicket += 1;
    return this.lastTicket as ReplyTicket;
  }

  /** The spec of a submitted job; throws if the job is unknown. */
  specOf(id: string): JobSpec {
    const spec = this.specs.get(id);
    if (!spec) throw new Error(`job ${id} was never submitted`);
    return spec;
  }

  isService(id: string): boolean {
    return this.specOf(id).shape === 'service';
  }
}
