/**
 * Recovery of the leader's state from the key-value store, at the start of a term. Only a leader
 * writes the ledger, and an earlier leader's writes are refused since the leader key has changed:
 * what is read here is complete. Jobs accepted meanwhile reach the leader by the job watch.
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
  FIRST_VERSION_LEDGER_PREFIX,
  JOB_PREFIX,
  LEDGER_PREFIX,
} from './stored-records.js';
import type { TermContext } from './term-context.js';

/** What a new leader starts from. */
export interface RecoveredState {
  /** To be applied before any other command, in this order. */
  readonly commands: readonly Command[];
  /** Where the job watch begins: it misses no job that was accepted since the jobs were listed. */
  readonly jobsRevision: Revision;
}

/** What a recovery needs. */
export interface StateRecoveryOptions {
  readonly dependencies: Pick<
    Dependencies,
    'batchStore' | 'extensions' | 'jitter' | 'log' | 'machineTypes'
  >;
  readonly term: TermContext;
  readonly jobIntake: JobIntake;
  /** The batch writer's; filled with the revision of every key that is read. */
  readonly keyRevisions: Map<string, Revision>;
}

/** Reads jobs, ledger and extensions' records, and turns them into commands. */
export class StateRecovery {
  constructor(private readonly options: StateRecoveryOptions) {}

  /** The stored state, or null when the term has ended before all of it was read. */
  async recover(): Promise<RecoveredState | null> {
    const { dependencies, term, jobIntake } = this.options;
    const [jobs, ledger, firstVersionLedger] = await Promise.all([
      this.list(JOB_PREFIX),
      this.list(LEDGER_PREFIX),
      this.list(FIRST_VERSION_LEDGER_PREFIX),
    ]);
    if (!jobs || !ledger || !firstVersionLedger || !term.isCurrent) return null;
    const commands: Command[] = [];
    if (dependencies.machineTypes)
      commands.push({ kind: 'machine-types', types: dependencies.machineTypes });
    for (const command of jobIntake.commandsForRecords(jobs.items)) commands.push(command);
    this.addLedger([...ledger.items, ...firstVersionLedger.items], commands);
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

  /** Progress goes before attempts: an attempt of a task that is done is not pursued. */
  private addLedger(items: readonly StoredItem[], commands: Command[]): void {
    const attempts: Command[] = [];
    for (const { key, value, revision } of items) {
      this.options.keyRevisions.set(key, revision);
      const segment = key as SegmentKey;
      const record = decodeSegment(value);
      if (!record) {
        this.options.dependencies.log.error({ key }, 'unreadable record');
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
