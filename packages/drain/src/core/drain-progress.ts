/** Current blockers of drains, and when each last made progress; kept in memory only. */
import type { MachineId, Moment } from '@robinspread/extension-api';
import type { Blocker } from './blocker.js';
import { type Drain, type DrainName, type DrainStatus, isActive } from './drain.js';

/** The key for the blocker of a drain as a whole. */
const WHOLE_DRAIN = '' as MachineId;

/** The blockers of each drain and its machines, collected anew in each decision. */
export class DrainProgress {
  private readonly blockers = new Map<DrainName, Map<MachineId, Blocker>>();
  private readonly previousBlockers = new Map<DrainName, Map<MachineId, Blocker>>();
  /** Time of the last progress, on the steady clock. */
  private readonly progressedAt = new Map<DrainName, number>();
  private readonly remainingAttempts = new Map<DrainName, number>();

  constructor(private readonly stalledAfterS: number) {}

  /** Clears the blockers of the previous decision. */
  beginDecision({ request }: Drain): void {
    const blockers = this.blockers.get(request.name);
    if (blockers && blockers.size > 0) this.previousBlockers.set(request.name, blockers);
    this.blockers.set(request.name, new Map());
  }

  /** Restores the last blockers, for a decision that does not select a step. */
  restorePreviousBlockers({ request }: Drain): void {
    const previous = this.previousBlockers.get(request.name);
    if (previous) this.blockers.set(request.name, previous);
  }

  /** Records the blocker of a machine in the step, or of the drain as a whole. */
  block({ request }: Drain, blocker: Blocker, machine: MachineId = WHOLE_DRAIN): void {
    this.blockers.get(request.name)?.set(machine, blocker);
  }

  /** Records that the drain made progress. */
  recordProgress({ request }: Drain, { now }: Moment): void {
    this.progressedAt.set(request.name, now);
  }

  /** Records how many attempts the machines in the step still hold; a decrease is progress. */
  recordRemainingAttempts(drain: Drain, remaining: number, moment: Moment): void {
    const { name } = drain.request;
    const before = this.remainingAttempts.get(name);
    if (before === undefined || remaining < before) this.recordProgress(drain, moment);
    this.remainingAttempts.set(name, remaining);
  }

  /** The status for operators; an active drain that has been blocked for too long is stalled. */
  statusOf(drain: Drain, { now }: Moment): DrainStatus {
    if (!isActive(drain)) return drain.phase;
    const { name } = drain.request;
    const progressedAt = this.progressedAt.get(name) ?? now;
    const isBlocked = (this.blockers.get(name)?.size ?? 0) > 0;
    return isBlocked && now - progressedAt > this.stalledAfterS * 1000 ? 'stalled' : drain.phase;
  }

  /** The blocker of a machine in the step, or of the drain as a whole; null if none. */
  blockerOf({ request }: Drain, machine: MachineId = WHOLE_DRAIN): Blocker | null {
    return this.blockers.get(request.name)?.get(machine) ?? null;
  }

  /** Removes a drain that the registry no longer keeps. */
  remove(name: DrainName): void {
    this.blockers.delete(name);
    this.previousBlockers.delete(name);
    this.progressedAt.delete(name);
    this.remainingAttempts.delete(name);
  }
}
