/**
 * The single owner of the leader's state: commands queue up and are worked off in batches. The pause between
 * batches grows with what the last one cost, so that under load each takes in more. On a fraction of a core what is
 * used beyond the share is paid for later by standing still: the pause counts that in, so that decisions take about a
 * third of the share and answers have the rest.
 */
import { steadyNow } from '../adapters/runtime/clock.js';
import { applyCommands } from '../core/apply-commands.js';
import type { CoreState } from '../core/core-state.js';
import type { Command } from '../core/model/command.js';
import type { Authority, Effect } from '../core/model/effect.js';
import type { Instant } from '../core/model/time.js';

const MAX_PAUSE_MS = 250;
/**
 * After a takeover a whole fleet reports at once, and one turn of the event loop may last for seconds, at whose end the timer of
 * the next batch fires: too late for workers, which wait 4 s. What has waited for longer than this is decided within the turn.
 */
const OVERDUE_MS = 300;
const DECISIONS_SHARE = 0.35;
const LEAST_PAUSE_FACTOR = 2.5;

export class CommandLoop {
  private queue: Command[] = [];
  private timer: NodeJS.Timeout | null = null;
  private nextAt = 0;
  /** When the oldest command that waits came in. */
  private oldest: Instant | null = null;
  private running = false;
  private stopped = false;
  private readonly pauseFactor: number;
  /** Commands wait here while a new leader still reads what the state service holds. */
  private open = false;

  constructor(
    readonly core: CoreState,
    private readonly authority: () => Authority,
    private readonly runEffect: (effect: Effect) => void,
    private readonly clock: () => Instant = steadyNow,
    cores = 1,
  ) {
    this.pauseFactor = Math.max(LEAST_PAUSE_FACTOR, 1 / (cores * DECISIONS_SHARE));
  }

  submit(command: Command): void {
    if (this.stopped) return;
    this.queue.push(command);
    if (!this.open) return;
    const now = this.clock();
    this.oldest ??= now;
    if (now - this.oldest > OVERDUE_MS && !this.running) {
      if (this.timer) clearTimeout(this.timer);
      this.run();
    } else this.wake();
  }

  /** Applies what was read at takeover before anything that came in since. */
  start(loaded: readonly Command[]): void {
    this.queue = [...loaded, ...this.queue];
    this.open = true;
    this.wake();
  }

  stop(): void {
    this.stopped = true;
    if (this.timer) clearTimeout(this.timer);
  }

  private wake(): void {
    if (this.timer || this.stopped) return;
    this.timer = setTimeout(() => this.run(), Math.max(0, this.nextAt - this.clock()));
  }

  private run(): void {
    this.timer = null;
    if (this.stopped) return;
    this.running = true;
    this.oldest = null;
    const commands = this.queue;
    this.queue = [];
    const before = this.clock();
    const effects = applyCommands(this.core, commands, before, this.authority());
    for (const effect of effects) this.runEffect(effect);
    this.running = false;
    const after = this.clock();
    this.nextAt = after + Math.min(MAX_PAUSE_MS, (after - before) * this.pauseFactor);
    if (this.queue.length > 0) this.wake();
  }
}
