/** Stores the leader's batches, one after the other, each guarded by the leader key and by its keys' versions. */
import { sleep } from '../adapters/clock.js';
import type { Log } from '../adapters/log.js';
import type { Jitter } from '../adapters/random.js';
import type { Guard, StateClient, Write } from '../adapters/state-client.js';
import type { Revision, SaveOp, Term } from '../core/types.js';
import { finalKey, jobKey, LEADER_KEY, writeFinal, writeSegment } from './records.js';

const NONE = 0 as Revision;

export class Persister {
  /** Version of each key that this leader has read or written. */
  readonly stamps = new Map<string, Revision>();
  private stopped = false;

  constructor(
    private readonly state: StateClient,
    private readonly term: Term,
    private readonly log: Log,
    private readonly jitter: Jitter,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  private writesOf(ops: readonly SaveOp[]): Write[] {
    const writes: Write[] = [];
    for (const op of ops) {
      if (op.kind === 'final') {
        writes.push({ put: finalKey(op.job), value: writeFinal(op) });
        writes.push({ del: jobKey(op.job) });
      } else if (op.kind === 'segment') {
        writes.push({ put: op.key, value: writeSegment(op) });
      } else if (this.stamps.has(op.key)) {
        writes.push({ del: op.key });
      }
    }
    return writes;
  }

  /** True once stored; false when the right to write is lost. Until then it goes on trying. */
  async save(ops: readonly SaveOp[]): Promise<boolean> {
    const writes = this.writesOf(ops);
    if (writes.length === 0) return true;
    const keys = writes.map((w) => ('del' in w ? w.del : w.put));
    for (let tries = 0; !this.stopped; tries += 1) {
      const guards: Guard[] = [{ key: LEADER_KEY, revision: this.term as number as Revision }];
      for (const key of keys) guards.push({ key, revision: this.stamps.get(key) ?? NONE });
      const result = await this.state.txn(guards, writes, 5000);
      if (typeof result === 'object') {
        this.remember(writes, result.revision);
        return true;
      }
      if (result === 'conflict' || result === 'unknown') {
        // An unanswered write may have been carried out: the first key's version tells.
        const seen = await this.lookUp(writes, keys);
        if (seen === 'lost') return false;
        if (seen === 'stored') return true;
      } else if (result === 'expired') {
        this.log.info({ keys }, 'the state service finds the batch malformed');
      }
      await sleep(
        this.jitter.around(
          result === 'refused' && !this.state.down ? 120 : Math.min(1000, 60 * 2 ** Math.min(tries, 4)),
        ),
      );
    }
    return false;
  }

  private remember(writes: readonly Write[], revision: Revision): void {
    for (const w of writes) {
      if ('del' in w) this.stamps.delete(w.del);
      else if (!w.put.startsWith('f/')) this.stamps.set(w.put, revision);
    }
  }

  private async lookUp(
    writes: readonly Write[],
    keys: readonly string[],
  ): Promise<'stored' | 'lost' | 'not-yet'> {
    const leader = await this.state.get(LEADER_KEY);
    if (leader === 'absent') return 'lost';
    if (typeof leader === 'string') return 'not-yet';
    if ((leader.revision as number) !== (this.term as number)) return 'lost';
    const first = await this.state.get(keys[0]!);
    if (typeof first === 'string' && first !== 'absent') return 'not-yet';
    const now = first === 'absent' ? NONE : (first as { revision: Revision }).revision;
    if (now !== (this.stamps.get(keys[0]!) ?? NONE)) {
      this.remember(writes, now);
      return 'stored';
    }
    // Not carried out: make sure of the versions we hold before the next try.
    for (const key of keys) {
      const item = await this.state.get(key);
      if (item === 'absent') this.stamps.delete(key);
      else if (typeof item === 'object') this.stamps.set(key, item.revision);
    }
    return 'not-yet';
  }
}
