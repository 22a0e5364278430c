/**
 * The single owner of the leader's state: commands queue up and are applied in batches. The pause
 * after a batch grows with what the batch cost, so that under load each batch takes in more.
 *
 * On a fraction of a core, processor time used beyond the share is paid for later by standing
 * still. The pause counts that in: decisions take about a third of the share, and answering
 * requests has the rest.
 */
import { steadyNow } from '../adapters/runtime/clock.js';
import { applyCommands } from '../core/apply-commands.js';
import type { CoreState } from '../core/core-state.js';
import type { Command } from '../core/model/command.js';
import type { Authority, Effect } from '../core/model/effect.js';
import type { Instant } from '../core/model/time.js';

/** Bounds of the pause after a batch. */
const BATCH_PAUSE = {
  maxMs: 250,
  /** The pause is at least this many times what the batch took. */
  minFactor: 2.5,
  /** Share of the processor quota that applying commands may take. */
  processorShare: 0.35,
} as const;

/**
 * A command that has waited for longer is applied at once, within the running turn. After a
 * failover a whole fleet sends heartbeats together, and one turn of the event loop may last for
 * seconds; a timer would fire only at its end, too late for workers, which wait 4 s.
 */
const MAX_QUEUE_DELAY_MS = 300;

/** What a command loop works on and with. */
export interface CommandLoopOptions {
  readonly core: CoreState;
  /** Asked anew for every batch. */
  readonly authority: () => Authority;
  readonly runEffect: (effect: Effect) => void;
  readonly clock?: () => Instant;
  /** Processor quota in cores; may be a fraction. */
  readonly cores?: number;
}

/** Queues commands, applies them to the core in batches and runs the effects in their order. */
export class CommandLoop {
  readonly core: CoreState;
  private readonly authority: () => Authority;
  private readonly runEffect: (effect: Effect) => void;
  private readonly clock: () => Instant;
  private readonly pauseFactor: number;
  private queue: Command[] = [];
  private timer: NodeJS.Timeout | null = null;
  /** The earliest time of the next batch. */
  private nextBatchAt = 0;
  /** When the oldest command in the queue came in. */
  private oldestQueuedAt: Instant | null = null;
  private isApplying = false;
  private isStopped = false;
  /** Until `start`, commands only queue up: a new leader still recovers the state they apply to. */
  private isStarted = false;

  constructor({ core, authority, runEffect, clock = steadyNow, cores = 1 }: CommandLoopOptions) {
    this.core = core;
    this.authority = authority;
    this.runEffect = runEffect;
    this.clock = clock;
    this.pauseFactor = Math.max(BATCH_PAUSE.minFactor, 1 / (cores * BATCH_PAUSE.processorShare));
  }

  /** Queues a command; it is applied with the next batch. */
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

  /** Starts applying: what was recovered goes before anything that has come in since. */
  start(recovered: readonly Command[]): void {
    this.queue = [...recovered, ...this.queue];
    this.isStarted = true;
    this.scheduleBatch();
  }

  /** Ends the loop for good; what is still in the queue is never applied. */
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
