/** What holds drains up at this moment, and when they last progressed; neither is stored. */
import type { MachineId, Moment } from '@robinspread/extension-api';
import type { Blocker } from './blocker.js';
import { type Drain, type DrainName, type DrainStatus, isActive } from './drain.js';

/** Stands for the drain as a whole among its machines. */
const WHOLE_DRAIN = '' as MachineId;

/** The blockers of each drain and its machines, gathered anew in each decision. */
export class DrainProgress {
  private readonly blockers = new Map<DrainName, Map<MachineId, Blocker>>();
  private readonly previousBlockers = new Map<DrainName, Map<MachineId, Blocker>>();
  /** On the steady clock. */
  private readonly progressedAt = new Map<DrainName, number>();
  private readonly remainingAttempts = new Map<DrainName, number>();

  constructor(private readonly stalledAfterS: number) {}

  /** Drops the blockers of the last decision. */
  beginDecision({ request }: Drain): void {
    const blockers = this.blockers.get(request.name);
    if (blockers && blockers.size > 0) this.previousBlockers.set(request.name, blockers);
    this.blockers.set(request.name, new Map());
  }

  /** The blockers of the decision before still hold: nothing was looked at again. */
  restorePreviousBlockers({ request }: Drain): void {
    const previous = this.previousBlockers.get(request.name);
    if (previous) this.blockers.set(request.name, previous);
  }

  /** Notes what holds up a machine of the step, or without one the drain as a whole. */
  block({ request }: Drain, blocker: Blocker, machine: MachineId = WHOLE_DRAIN): void {
    this.blockers.get(request.name)?.set(machine, blocker);
  }

  /** Something has gone on: the drain is not stalled. */
  recordProgress({ request }: Drain, { now }: Moment): void {
    this.progressedAt.set(request.name, now);
  }

  /** How many attempts are left on the machines of the current step: fewer is progress too. */
  recordRemainingAttempts(drain: Drain, remaining: number, moment: Moment): void {
    const { name } = drain.request;
    const before = this.remainingAttempts.get(name);
    if (before === undefined || remaining < before) this.recordProgress(drain, moment);
    this.remainingAttempts.set(name, remaining);
  }

  /** The status for operators: an active drain that was blocked for too long is stalled. */
  statusOf(drain: Drain, { now }: Moment): DrainStatus {
    if (!isActive(drain)) return drain.phase;
    const { name } = drain.request;
    const progressedAt = this.progressedAt.get(name) ?? now;
    const isBlocked = (this.blockers.get(name)?.size ?? 0) > 0;
    return isBlocked && now - progressedAt > this.stalledAfterS * 1000 ? 'stalled' : drain.phase;
  }

  /** What holds up a machine of the step, or without one the drain as a whole; null: nothing. */
  blockerOf({ request }: Drain, machine: MachineId = WHOLE_DRAIN): Blocker | null {
    return this.blockers.get(request.name)?.get(machine) ?? null;
  }

  /** The drain is not kept any more. */
  remove(name: DrainName): void {
    this.blockers.delete(name);
    this.previousBlockers.delete(name);
    this.progressedAt.delete(name);
    this.remainingAttempts.delete(name);
  }
}
