/**
 * Recovers the leader's state from the key-value store at the start of a term. Only a leader writes
 * the ledger, and a former leader's writes are refused since the leader key has changed: the ledger
 * read here is complete. Jobs accepted meanwhile arrive through the job watch.
 */

import type { Command } from '../core/model/command.js';
import type { ExtensionRecord } from '../core/model/extension-record.js';
import type { Revision, SegmentKey } from '../core/model/ids.js';
import type { StoredItem } from '../ports/key-value-store.js';
import type { Dependencies } from './dependencies.js';
import type { JobIntake } from './job-intake.js';
import { listPrefix } from './store-listing.js';
import {
  decodeSegment,
  extensionPrefix,
  JOB_PREFIX,
  LEDGER_PREFIX,
  LEGACY_LEDGER_PREFIX,
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
    'batchStore' | 'extensions' | 'jitter' | 'log' | 'machineTypes'
  >;
  readonly term: TermContext;
  readonly jobIntake: JobIntake;
  /** The batch writer's map, to which recovery adds the revision of every key that it reads. */
  readonly keyRevisions: Map<string, Revision>;
}

/** Reads jobs, ledger and extension records, and converts them into commands. */
export class StateRecovery {
  constructor(private readonly options: StateRecoveryOptions) {}

  /** Returns the stored state, or null if the term ends first. */
  async recover(): Promise<RecoveredState | null> {
    const { dependencies, term, jobIntake } = this.options;
    const [jobs, ledger, legacyLedger] = await Promise.all([
      this.list(JOB_PREFIX),
      this.list(LEDGER_PREFIX),
      this.list(LEGACY_LEDGER_PREFIX),
    ]);
    if (!jobs || !ledger || !legacyLedger || !term.isCurrent) return null;
    const commands: Command[] = [];
    if (dependencies.machineTypes)
      commands.push({ kind: 'machine-types', types: dependencies.machineTypes });
    for (const command of jobIntake.commandsForRecords(jobs.items)) commands.push(command);
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

  private list(prefix: string) {
    return listPrefix(this.options.dependencies, this.options.term, prefix);
  }

  /** Adds progress before attempts, so that an attempt of a finished task is not resumed. */
  private addLedger(items: readonly StoredItem[], commands: Command[]): void {
    const attempts: Command[] = [];
    for (const { key, value, revision } of items) {
      this.options.keyRevisions.set(key, revision);
      const segment = key as SegmentKey;
      const record = decodeSegment(value);
      if (!record) {
        this.options.dependencies.log.error(
          { key },
          'unreadable ledger record; placements wait until all worker leases have expired',
        );
        commands.push({ kind: 'unreadable-segment', segment });
        continue;
      }
      for (const row of record.progress)
        commands.push({ kind: 'recovered-progress', segment, ...row });
      for (const row of record.machines)
        attempts.push({ kind: 'recovered-attempts', segment, ...row });
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
