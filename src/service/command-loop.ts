/**
 * The single owner of the leader's state, to which it applies commands in batches. The pause after
 * a batch grows with the batch's duration, so that batches are larger under load.
 *
 * A process that exceeds a quota of a fraction of a core is throttled. The pauses therefore limit
 * applying commands to about a third of the quota, and leave the rest to answering requests.
 */
import { steadyNow } from '../adapters/runtime/clock.js';
import { applyCommands } from '../core/apply-commands.js';
import type { CoreState } from '../core/core-state.js';
import type { Command } from '../core/model/command.js';
import type { Authority, Effect } from '../core/model/effect.js';
import type { Instant } from '../core/model/time.js';

/** Limits of the pause after a batch. */
const BATCH_PAUSE = {
  maxMs: 250,
  /** The pause is at least this many times the batch's duration, up to `maxMs`. */
  minFactor: 2.5,
  /** Share of the processor quota that applying commands may use. */
  processorShare: 0.35,
} as const;

/**
 * When the oldest command has been queued for longer, `submit` applies the batch synchronously.
 * After a failover the whole fleet sends heartbeats at once, and a turn of the event loop may last
 * for seconds: a timer would fire only afterwards, too late for workers, which time out after 4 s.
 */
const MAX_QUEUE_DELAY_MS = 300;

/** The state that the loop owns, and its connections to the leader term. */
export interface CommandLoopOptions {
  readonly core: CoreState;
  /** Evaluated for every batch. */
  readonly authority: () => Authority;
  readonly runEffect: (effect: Effect) => void;
  readonly clock?: () => Instant;
  /** Processor quota in cores, possibly fractional. */
  readonly cores?: number;
}

/** Queues commands, applies them to the core and runs the effects in order. */
export class CommandLoop {
  readonly core: CoreState;
  private readonly authority: () => Authority;
  private readonly runEffect: (effect: Effect) => void;
  private readonly clock: () => Instant;
  private readonly pauseFactor: number;
  private queue: Command[] = [];
  private timer: NodeJS.Timeout | null = null;
  /** Earliest time of the next batch. */
  private nextBatchAt = 0;
  /** When the oldest queued command was submitted; those queued before `start` do not count. */
  private oldestQueuedAt: Instant | null = null;
  private isApplying = false;
  private isStopped = false;
  /** Until `start`, commands are only queued, as the state is being recovered. */
  private isStarted = false;

  constructor({ core, authority, runEffect, clock = steadyNow, cores = 1 }: CommandLoopOptions) {
    this.core = core;
    this.authority = authority;
    this.runEffect = runEffect;
    this.clock = clock;
    this.pauseFactor = Math.max(BATCH_PAUSE.minFactor, 1 / (cores * BATCH_PAUSE.processorShare));
  }

  /** Queues a command for the next batch; does nothing after `stop`. */
  submit(command: Command): void {
    if (this.isStopped) return;
    this.queue.push(command);
    if (!this.isStarted) return;
    const now = this.clock();
    this.oldestQueuedAt ??= now;
    if (now - this.oldestQueuedAt > MAX_QUEUE_DELAY_MS && !this.isApplying) {
      if (this.timer) clearTimeout(this.timer);
      this.applyBatch();
    } else this.scheduleBatch();
  }

  /** Starts applying commands: first the recovered ones, then those already queued. */
  start(recovered: readonly Command[]): void {
    this.queue = [...recovered, ...this.queue];
    this.isStarted = true;
    this.scheduleBatch();
  }

  /** Stops the loop permanently, without applying queued commands. */
  stop(): void {
    this.isStopped = true;
    if (this.timer) clearTimeout(this.timer);
  }

  private scheduleBatch(): void {
    if (this.timer || this.isStopped) return;
    const delayMs = Math.max(0, this.nextBatchAt - this.clock());
    this.timer = setTimeout(() => this.applyBatch(), delayMs);
  }

  private applyBatch(): void {
    this.timer = null;
    if (this.isStopped) return;
    this.isApplying = true;
    this.oldestQueuedAt = null;
    const commands = this.queue;
    this.queue = [];
    const startedAt = this.clock();
    const effects = applyCommands(this.core, commands, startedAt, this.authority());
    for (const effect of effects) this.runEffect(effect);
    this.isApplying = false;
    const endedAt = this.clock();
    const pauseMs = Math.min(BATCH_PAUSE.maxMs, (endedAt - startedAt) * this.pauseFactor);
    this.nextBatchAt = endedAt + pauseMs;
    if (this.queue.length > 0) this.scheduleBatch();
  }
}
