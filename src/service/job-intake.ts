/** Turns accepted jobs, from this node or from the key-value store, into commands for the core. */

import type { Log } from '../adapters/logging/log.js';
import { fromTimeOfDay } from '../adapters/runtime/clock.js';
import type { Command } from '../core/model/command.js';
import type { Revision } from '../core/model/ids.js';
import type { StoredItem } from '../ports/key-value-store.js';
import { decodeJob, type JobRecord, jobKey } from './stored-records.js';
import type { WriteShare } from './write-share.js';

/** Every way by which a job reaches the leader goes through here, so that each is accounted for. */
export class JobIntake {
  constructor(
    /** The batch writer's: its deletion of a job's record names the record's revision. */
    private readonly keyRevisions: Map<string, Revision>,
    private readonly writeShare: WriteShare,
    private readonly log: Log,
  ) {}

  /** The command for a job; it may come after the job's end, which the core knows of. */
  commandForJob(record: JobRecord, revision: Revision): Command {
    this.keyRevisions.set(jobKey(record.spec.id), revision);
    this.writeShare.recordArrival();
    return { kind: 'job', spec: record.spec, submittedAt: fromTimeOfDay(record.acceptedAt) };
  }

  /** The commands for job records as the store holds them; unreadable ones are logged. */
  commandsForRecords(items: readonly StoredItem[]): Command[] {
    const commands: Command[] = [];
    for (const { key, value, revision } of items) {
      const record = decodeJob(value);
      if (record && key === jobKey(record.spec.id))
        commands.push(this.commandForJob(record, revision));
      else this.log.error({ key }, 'unreadable record');
    }
    return commands;
  }
}
