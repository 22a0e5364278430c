/** Ledger entries in memory: one object for each attempt, so they share what they have in common. */
import type { AttemptId, JobId, TaskIndex, TeamName } from './ids.js';
import type { LedgerEntry } from './ledger-record.js';

/** What the entries of one job have in common; a `JobSpec` is one. */
export interface TaskRequest {
  readonly id: JobId;
  readonly team: TeamName;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** An entry that refers to its job's common part. */
export class AttemptEntry implements LedgerEntry {
  constructor(
    private readonly request: TaskRequest,
    readonly index: TaskIndex,
    readonly attempt: AttemptId,
  ) {}

  get job(): JobId {
    return this.request.id;
  }
  get team(): TeamName {
    return this.request.team;
  }
  get cpus(): number {
    return this.request.cpus;
  }
  get gpus(): number {
    return this.request.gpus;
  }
  get memoryGb(): number {
    return this.request.memoryGb;
  }
}

/** The entry with all of its fields in one plain object, as it is stored. */
export const toPlainEntry = ({
  job,
  index,
  attempt,
  team,
  cpus,
  gpus,
  memoryGb,
}: LedgerEntry): LedgerEntry => ({ job, index, attempt, team, cpus, gpus, memoryGb });

const isRequestOf = (request: TaskRequest, entry: LedgerEntry): boolean =>
  request.id === entry.job &&
  request.team === entry.team &&
  request.cpus === entry.cpus &&
  request.gpus === entry.gpus &&
  request.memoryGb === entry.memoryGb;

/** Collects the common parts of entries, so that equal ones are kept once. */
export class TaskRequests {
  private readonly requests = new Map<JobId, TaskRequest>();

  /** The same entry, which refers to a common part. */
  share(entry: LedgerEntry): AttemptEntry {
    return new AttemptEntry(this.requestOf(entry), entry.index, entry.attempt);
  }

  private requestOf(entry: LedgerEntry): TaskRequest {
    const known = this.requests.get(entry.job);
    if (known && isRequestOf(known, entry)) return known;
    const { job, team, cpus, gpus, memoryGb } = entry;
    const request = { id: job, team, cpus, gpus, memoryGb };
    this.requests.set(job, request);
    return request;
  }
}
