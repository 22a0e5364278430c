/** The parties of the simulated world: workers, leaders and what the state service keeps. */
import type { CoreState } from '../../../src/core/core-state.js';
import type { Command } from '../../../src/core/model/command.js';
import type { SegmentKey } from '../../../src/core/model/ids.js';
import type { JobSpec } from '../../../src/core/model/job.js';

/** A task on a worker. */
export interface Running {
  job: string;
  index: number;
  attempt: number;
  state: 'fetching' | 'running' | 'ended';
  cause: 'done' | 'stopped' | 'error' | null;
  left: number;
}

/** A machine, as it really is. */
export class Worker {
  session = 1;
  seq = 0;
  term = 0;
  tasks: Running[] = [];
  leaseFrom: number;
  hungUntil = 0;
  dueAt: number;
  awaiting: { sentAt: number; session: number } | null = null;
  noticeAt: number | null = null;
  sick = false;
  upAt: number;
  gone = false;
  /** While cut off, it reaches only this leader, and nothing else reaches it. */
  cutOffWith: Leader | null = null;
  cutOffUntil = 0;
  /** While deaf, its reports arrive, but no answer and no command reaches it. */
  deafUntil = 0;
  /** While mute, it reaches no controller, but direct commands reach it. */
  muteUntil = 0;
  /** What it sends and what is sent to it is held back until then, and arrives all at once. */
  heldUntil = 0;
  lastAt = 0;

  constructor(
    readonly id: string,
    readonly spot: boolean,
    readonly zone: string,
    now: number,
    bootMs: number,
  ) {
    this.upAt = now + bootMs;
    this.leaseFrom = this.upAt;
    this.dueAt = this.upAt;
  }

  /** Processors that its tasks take. */
  used(specs: ReadonlyMap<string, JobSpec>): number {
    const running = this.tasks.filter((t) => t.state !== 'ended');
    return running.reduce((sum, t) => sum + specs.get(t.job)!.cpus, 0);
  }
}

/** What the state service keeps: survives every leader. */
export interface Store {
  jobs: Map<string, { spec: JobSpec; at: number }>;
  finals: Map<string, string>;
  /** Ledger records as the text that the state service would hold. */
  ledger: Map<SegmentKey, string>;
  /** Records of extensions, likewise. */
  records: Map<string, string>;
  term: number;
}

/** A controller that leads, or has led and does not know better. */
export interface Leader {
  term: number;
  /** Writes by the layout and limits of the version before this one, and cannot read what stands for a service. */
  old: boolean;
  state: CoreState;
  /** false once another has taken over: what it still does is fenced by the store. */
  alive: boolean;
  validUntil: number;
  /** Until then the process stands still, while its clock runs on. */
  frozenUntil: number;
  queue: Command[];
}

/** What is under way, and when it arrives. */
export interface Message {
  at: number;
  act: () => void;
}
