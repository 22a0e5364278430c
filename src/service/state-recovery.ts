/**
 * Recovers the leader's state from the key-value store at the start of a term. Only a leader writes
 * the ledger, and a former leader's writes are refused since the leader key has changed: the ledger
 * read here is complete. Jobs accepted meanwhile arrive through the job watch.
 */

import { fromTimeOfDay, steadyNow } from '../adapters/runtime/clock.js';
import { TaskRequests } from '../core/model/attempt-entry.js';
import type { Command } from '../core/model/command.js';
import type { ExtensionRecord } from '../core/model/extension-record.js';
import type { Revision, SegmentKey } from '../core/model/ids.js';
import type { Instant } from '../core/model/time.js';
import type { StoredItem } from '../ports/key-value-store.js';
import type { Dependencies } from './dependencies.js';
import type { JobIntake } from './job-intake.js';
import { recoveredLossesCommand } from './recovered-losses.js';
import { listPrefix } from './store-listing.js';
import {
  decodeMachineLosses,
  decodeSegment,
  extensionPrefix,
  JOB_PREFIX,
  LEDGER_PREFIX,
  LEGACY_LEDGER_PREFIX,
  MACHINE_LOSS_PREFIX,
  type SegmentRecord,
} from './stored-records.js';
import type { TermContext } from './term-context.js';

/** The state from which a new leader starts. */
export interface RecoveredState {
  /** Must be applied in this order, before any other command. */
  readonly commands: readonly Command[];
  /** Revision from which the job watch reports all jobs accepted since the listing. */
  readonly jobsRevision: Revision;
}

/** Components that the recovery reads from or updates. */
export interface StateRecoveryOptions {
  readonly dependencies: Pick<
    Dependencies,
    'batchStore' | 'extensions' | 'jitter' | 'log' | 'machineTypes' | 'settings'
  >;
  readonly term: TermContext;
  readonly jobIntake: JobIntake;
  /** The batch writer's map, to which recovery adds the revision of every key that it reads. */
  readonly keyRevisions: Map<string, Revision>;
}

/** A stored segment; `record` is null if it is unreadable. */
interface LedgerItem {
  readonly segment: SegmentKey;
  readonly revision: Revision;
  readonly record: SegmentRecord | null;
}

/** The record, whose entries share what they have in common: the ledger may hold 100,000. */
const shareTaskRequests = (record: SegmentRecord): SegmentRecord => {
  const requests = new TaskRequests();
  const machines = record.machines.map((row) => ({
    ...row,
    entries: row.entries.map((entry) => requests.share(entry)),
  }));
  return { ...record, machines };
};

const decodeLedgerItem = ({ key, value, revision }: StoredItem): LedgerItem => {
  const record = decodeSegment(value);
  return { segment: key as SegmentKey, revision, record: record && shareTaskRequests(record) };
};

/** Reads jobs, ledger and extension records, and converts them into commands. */
export class StateRecovery {
  constructor(private readonly options: StateRecoveryOptions) {}

  /** Returns the stored state, or null if the term ends first. */
  async recover(): Promise<RecoveredState | null> {
    const { dependencies, term, jobIntake } = this.options;
    const [jobs, losses, ledger, legacyLedger] = await Promise.all([
      this.list(JOB_PREFIX),
      this.list(MACHINE_LOSS_PREFIX),
      this.list(LEDGER_PREFIX, decodeLedgerItem),
      this.list(LEGACY_LEDGER_PREFIX, decodeLedgerItem),
    ]);
    if (!jobs || !losses || !ledger || !legacyLedger || !term.isCurrent) return null;
    const commands: Command[] = [];
    if (dependencies.machineTypes)
      commands.push({ kind: 'machine-types', types: dependencies.machineTypes });
    for (const command of jobIntake.commandsForRecords(jobs.items)) commands.push(command);
    this.addMachineLosses(losses.items, commands);
    this.addLedger([...ledger.items, ...legacyLedger.items], commands);
    for (const { name } of dependencies.extensions) {
      const records = await this.readExtensionRecords(name);
      if (!records) return null;
      commands.push({ kind: 'extension-records', extension: name, records });
    }
    commands.push({ kind: 'recovery-completed' });
    dependencies.log.info(
      { jobCount: jobs.items.length, ledgerRecordCount: ledger.items.length },
      'state recovered',
    );
    return { commands, jobsRevision: jobs.revision };
  }

  private list<T = StoredItem>(prefix: string, decode?: (item: StoredItem) => T) {
    return listPrefix(this.options.dependencies, this.options.term, prefix, decode);
  }

  /** An unreadable page is overwritten; what it said is then found out again. */
  private addMachineLosses(items: readonly StoredItem[], commands: Command[]): void {
    const { dependencies, keyRevisions } = this.options;
    for (const { key, value, revision } of items) {
      keyRevisions.set(key, revision);
      const record = decodeMachineLosses(value);
      if (!record) {
        dependencies.log.error({ key }, 'unreadable record of lost machines; ignoring it');
        continue;
      }
      commands.push(recoveredLossesCommand(record, (time) => this.toInstant(time)));
    }
  }

  /** The latest instant at which the clock of the node that wrote the time may have shown it. */
  private toInstant(timeOfDayMs: number): Instant {
    const { maxClockOffsetMs } = this.options.dependencies.settings;
    const instant = fromTimeOfDay(timeOfDayMs + 2 * maxClockOffsetMs);
    return Math.min(instant, steadyNow()) as Instant;
  }

  /** Adds progress before attempts, so that an attempt of a finished task is not resumed. */
  private addLedger(items: readonly LedgerItem[], commands: Command[]): void {
    const attempts: Command[] = [];
    for (const { segment, revision, record } of items) {
      this.options.keyRevisions.set(segment, revision);
      if (!record) {
        this.options.dependencies.log.error(
          { key: segment },
          'unreadable ledger record; placements wait until all worker leases have expired',
        );
        commands.push({ kind: 'unreadable-segment', segment });
        continue;
      }
      for (const row of record.progress)
        commands.push({ kind: 'recovered-progress', segment, ...row });
      const { recordedAtTimeOfDayMs: recorded } = record;
      const recordedAt = recorded === undefined ? null : this.toInstant(recorded);
      for (const row of record.machines)
        attempts.push({ kind: 'recovered-attempts', segment, recordedAt, ...row });
    }
    commands.push(...attempts);
  }

  private async readExtensionRecords(extension: string): Promise<ExtensionRecord[] | null> {
    const prefix = extensionPrefix(extension);
    const stored = await this.list(prefix);
    if (!stored || !this.options.term.isCurrent) return null;
    return stored.items.map(({ key, value, revision }) => {
      this.options.keyRevisions.set(key, revision);
      return { key: key.slice(prefix.length), value };
    });
  }
}
