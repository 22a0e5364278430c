/** Converts accepted jobs, from this node or from the key-value store, into core commands. */

import type { Log } from '../adapters/logging/log.js';
import { fromTimeOfDay } from '../adapters/runtime/clock.js';
import type { Command } from '../core/model/command.js';
import type { Revision } from '../core/model/ids.js';
import type { StoredItem } from '../ports/key-value-store.js';
import { decodeJob, type JobRecord, jobKey } from './stored-records.js';
import type { WriteShare } from './write-share.js';

/** All jobs reach the leader through this class, which records their revisions and rate. */
export class JobIntake {
  constructor(
    /** The batch writer's map: a job's record is deleted only at the revision recorded here. */
    private readonly keyRevisions: Map<string, Revision>,
    private readonly writeShare: WriteShare,
    private readonly log: Log,
  ) {}

  /** The command that adds a job; the core ignores one that arrives after the job's end. */
  commandForJob(record: JobRecord, revision: Revision): Command {
    this.keyRevisions.set(jobKey(record.spec.id), revision);
    this.writeShare.recordArrival();
    return { kind: 'job', spec: record.spec, submittedAt: fromTimeOfDay(record.acceptedAt) };
  }

  /** The commands for stored job records; unreadable ones are logged and skipped. */
  commandsForRecords(items: readonly StoredItem[]): Command[] {
    const commands: Command[] = [];
    for (const { key, value, revision } of items) {
      const record = decodeJob(value);
      if (record && key === jobKey(record.spec.id))
        commands.push(this.commandForJob(record, revision));
      else this.log.error({ key }, 'unreadable job record; skipping it');
    }
    return commands;
  }
}
