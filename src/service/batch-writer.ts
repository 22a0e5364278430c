/** Stores the leader's batches, one after the other, each guarded by the leader key and by its keys' versions. */

import type {
  KeyValueStoreClient,
  Mutation,
  Precondition,
} from '../adapters/key-value-store/key-value-store-client.js';
import type { Log } from '../adapters/logging/log.js';
import { sleep } from '../adapters/runtime/clock.js';
import type { Jitter } from '../adapters/runtime/random.js';
import type { RecordWrite } from '../core/model/extension-record.js';
import type { FencingToken, Revision, SegmentKey } from '../core/model/ids.js';
import type { StoreOperation } from '../core/model/ledger-record.js';
import {
  completionKey,
  encodeCompletion,
  encodeSegment,
  extensionKey,
  jobKey,
  LEADER_KEY,
} from './stored-records.js';

const NONE = 0 as Revision;

interface Unit {
  readonly op: StoreOperation;
  readonly writes: readonly Mutation[];
}

type SegmentOp = Extract<StoreOperation, { kind: 'write-segment' }>;

/** Two records that say together what one did, under names of their own; null for one that is a single row. */
const halve = (op: SegmentOp): [SegmentOp, SegmentOp] | null => {
  const half = <T>(list: readonly T[]): [readonly T[], readonly T[]] => {
    const at = Math.ceil(list.length / 2);
    return [list.slice(0, at), list.slice(at)];
  };
  const made = (
    a: Pick<SegmentOp, 'machines' | 'progress'>,
    b: Pick<SegmentOp, 'machines' | 'progress'>,
  ): [SegmentOp, SegmentOp] => [
    { kind: 'write-segment', key: `${op.key}.0` as SegmentKey, ...a },
    { kind: 'write-segment', key: `${op.key}.1` as SegmentKey, ...b },
  ];
  const { machines, progress } = op;
  if (machines.length > 0 && progress.length > 0)
    return made({ machines, progress: [] }, { machines: [], progress });
  if (machines.length > 1) {
    const [a, b] = half(machines);
    return made({ machines: a, progress }, { machines: b, progress });
  }
  if (progress.length > 1) {
    const [a, b] = half(progress);
    return made({ machines, progress: a }, { machines, progress: b });
  }
  const row = machines[0];
  if (!row || row.entries.length < 2) return null;
  const [a, b] = half(row.entries);
  return made(
    { machines: [{ ...row, entries: a }], progress },
    { machines: [{ ...row, entries: b }], progress },
  );
};

export class BatchWriter {
  /** Version of each key that this leader has read or written. */
  readonly keyRevisions = new Map<string, Revision>();
  /** Records that had to be cut, by the name the core knows. */
  private readonly pieces = new Map<SegmentKey, SegmentKey[]>();
  private cuts = 0;
  private toldTooLarge = false;
  private stopped = false;
  /** Revision of the newest change that is known to be stored under this term. */
  lastRevision: Revision;

  constructor(
    private readonly state: KeyValueStoreClient,
    private readonly fencingToken: FencingToken,
    private readonly log: Log,
    private readonly jitter: Jitter,
    /** Changes that the service takes at once, by the settings; should it refuse them, fewer. */
    private mostChanges = Number.POSITIVE_INFINITY,
  ) {
    this.lastRevision = fencingToken as number as Revision;
  }

  stop(): void {
    this.stopped = true;
  }

  /** null for a deletion of what is not there. */
  private extensionWrite(extension: string, { key, value }: RecordWrite): Mutation | null {
    const stored = extensionKey(extension, key);
    if (value !== null) return { put: stored, value };
    return this.keyRevisions.has(stored) ? { del: stored } : null;
  }

  /** What must be written together; each unit may be written apart from the others, in their order. */
  private unitsOf(ops: readonly StoreOperation[]): Unit[] {
    const units: Unit[] = [];
    for (const op of ops) {
      if (op.kind === 'job-completion') {
        const writes: Mutation[] = [
          { put: completionKey(op.job), value: encodeCompletion(op) },
          { del: jobKey(op.job) },
        ];
        units.push({ op, writes });
      } else if (op.kind === 'write-extension-records') {
        const writes = op.writes.map((write) => this.extensionWrite(op.extension, write));
        const changes = writes.filter((write) => write !== null);
        if (changes.length > 0) units.push({ op, writes: changes });
      } else if (op.kind === 'write-segment') {
        units.push({ op, writes: [{ put: op.key, value: encodeSegment(op) }] });
      } else {
        for (const key of this.pieces.get(op.key) ?? [op.key]) {
          if (this.keyRevisions.has(key)) units.push({ op, writes: [{ del: key }] });
        }
        this.pieces.delete(op.key);
      }
    }
    return units;
  }

  /**
   * Null when the right to write is lost; else what the state service takes in no size, while all the rest is stored. Until
   * it knows, it goes on trying.
   */
  async storeBatch(ops: readonly StoreOperation[]): Promise<readonly StoreOperation[] | null> {
    const refused: StoreOperation[] = [];
    const rest = this.unitsOf(ops);
    while (rest.length > 0) {
      // As much as the service is known to take at once.
      let n = 0;
      for (let changes = 0; n < rest.length; n += 1) {
        changes += rest[n]!.writes.length;
        if (n > 0 && changes > this.mostChanges) break;
      }
      if (!(await this.store(rest.splice(0, n), refused))) return null;
    }
    return refused;
  }

  /**
   * Stores these in one transaction, or in smaller ones where the service refuses it as too large: its limits may have fallen
   * below what any setting said. What was refused is never sent again unchanged. False when the right to write is lost.
   */
  private async store(units: readonly Unit[], refused: StoreOperation[]): Promise<boolean> {
    const outcome = await this.write(units.flatMap((unit) => unit.writes));
    if (outcome !== 'too-large') return outcome === 'stored';
    if (!this.toldTooLarge) {
      this.toldTooLarge = true;
      const changes = units.reduce((sum, unit) => sum + unit.writes.length, 0);
      this.log.info(
        { changes },
        'the state service refuses a batch as too large: cutting it smaller',
      );
    }
    if (units.length > 1) {
      const half = Math.ceil(units.length / 2);
      const before = refused.length;
      const cuts = this.cuts;
      if (!(await this.store(units.slice(0, half), refused))) return false;
      if (!(await this.store(units.slice(half), refused))) return false;
      // Where each half was taken as it is, the number of changes was at fault.
      if (refused.length === before && this.cuts === cuts) {
        const changes = units.slice(0, half).reduce((sum, unit) => sum + unit.writes.length, 0);
        this.mostChanges = Math.min(this.mostChanges, changes);
      }
      return true;
    }
    this.cuts += 1;
    const { op } = units[0]!;
    const halves = op.kind === 'write-segment' ? halve(op) : null;
    if (!halves) {
      this.log.error({ op: op.kind }, 'the state service takes a change in no size');
      refused.push(op);
      return true;
    }
    const whole = op.kind === 'write-segment' ? op.key : null;
    for (const half of halves) {
      if (
        !(await this.store(
          [{ op: half, writes: [{ put: half.key, value: encodeSegment(half) }] }],
          refused,
        ))
      )
        return false;
      if (whole !== null) this.rememberPieces(whole, half.key);
    }
    return true;
  }

  /** The core knows a record by one name; what it was cut into goes when it goes. */
  private rememberPieces(whole: SegmentKey, piece: SegmentKey): void {
    const known = this.pieces.get(whole) ?? [];
    for (const key of this.pieces.get(piece) ?? [piece]) known.push(key);
    this.pieces.delete(piece);
    this.pieces.set(whole, known);
  }

  /** Tries until it is known whether these were written. */
  private async write(writes: readonly Mutation[]): Promise<'stored' | 'lost' | 'too-large'> {
    const keys = writes.map((w) => ('del' in w ? w.del : w.put));
    for (let tries = 0; !this.stopped; tries += 1) {
      const guards: Precondition[] = [
        { key: LEADER_KEY, revision: this.fencingToken as number as Revision },
      ];
      for (const key of keys) guards.push({ key, revision: this.keyRevisions.get(key) ?? NONE });
      const result = await this.state.compareAndSwap(guards, writes, 5000);
      if (typeof result === 'object') {
        this.remember(writes, result.revision);
        return 'stored';
      }
      if (result === 'too-large') return result;
      if (result === 'conflict' || result === 'unknown') {
        // An unanswered write may have been carried out: the first key's version tells.
        const seen = await this.readBack(writes, keys);
        if (seen !== 'not-yet') return seen;
      }
      await sleep(
        this.jitter.around(
          result === 'refused' && !this.state.isDown
            ? 120
            : Math.min(1000, 60 * 2 ** Math.min(tries, 4)),
        ),
      );
    }
    return 'lost';
  }

  private remember(writes: readonly Mutation[], revision: Revision): void {
    this.lastRevision = Math.max(this.lastRevision, revision) as Revision;
    for (const w of writes) {
      if ('del' in w) this.keyRevisions.delete(w.del);
      else if (!w.put.startsWith('f/')) this.keyRevisions.set(w.put, revision);
    }
  }

  private async readBack(
    writes: readonly Mutation[],
    keys: readonly string[],
  ): Promise<'stored' | 'lost' | 'not-yet'> {
    const leader = await this.state.get(LEADER_KEY);
    if (leader === 'absent') return 'lost';
    if (typeof leader === 'string') return 'not-yet';
    if ((leader.revision as number) !== (this.fencingToken as number)) return 'lost';
    const first = await this.state.get(keys[0]!);
    if (typeof first === 'string' && first !== 'absent') return 'not-yet';
    const now = first === 'absent' ? NONE : (first as { revision: Revision }).revision;
    if (now !== (this.keyRevisions.get(keys[0]!) ?? NONE)) {
      this.remember(writes, now);
      return 'stored';
    }
    // Not carried out: make sure of the versions we hold before the next try.
    for (const key of keys) {
      const item = await this.state.get(key);
      if (item === 'absent') this.keyRevisions.delete(key);
      else if (typeof item === 'object') this.keyRevisions.set(key, item.revision);
    }
    return 'not-yet';
  }
}
