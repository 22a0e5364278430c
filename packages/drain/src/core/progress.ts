/** What holds drains up at this moment, and when they last moved; neither is stored. */
import type { MachineId, Moment } from '@robinspread/extension-api';
import type { Blocker, Drain, DrainName, DrainStatus } from './types.js';

/** Stands for the drain as a whole among its machines. */
const WHOLE = '' as MachineId;

export class Progress {
  private readonly blockers = new Map<DrainName, Map<MachineId, Blocker>>();
  private readonly previous = new Map<DrainName, Map<MachineId, Blocker>>();
  private readonly movedAt = new Map<DrainName, number>();
  private readonly attemptsLeft = new Map<DrainName, number>();

  constructor(private readonly stalledAfterS: number) {}

  /** Forgets the reasons of the last decision. */
  begin({ request }: Drain): void {
    const reasons = this.blockers.get(request.name);
    if (reasons && reasons.size > 0) this.previous.set(request.name, reasons);
    this.blockers.set(request.name, new Map());
  }

  /** The reasons of the decision before still hold: nothing was looked at again. */
  keep({ request }: Drain): void {
    const before = this.previous.get(request.name);
    if (before) this.blockers.set(request.name, before);
  }

  block({ request }: Drain, blocker: Blocker, machine: MachineId = WHOLE): void {
    this.blockers.get(request.name)?.set(machine, blocker);
  }

  /** Something has gone on. */
  moved({ request }: Drain, { now }: Moment): void {
    this.movedAt.set(request.name, now);
  }

  /** How many attempts are left on the machines of the current step: fewer is progress too. */
  noteAttempts(drain: Drain, left: number, moment: Moment): void {
    const { name } = drain.request;
    const before = this.attemptsLeft.get(name);
    if (before === undefined || left < before) this.moved(drain, moment);
    this.attemptsLeft.set(name, left);
  }

  statusOf(drain: Drain, { now }: Moment): DrainStatus {
    const { name } = drain.request;
    if (drain.phase !== 'running' && drain.phase !== 'pending') return drain.phase;
    const movedAt = this.movedAt.get(name) ?? now;
    const blocked = (this.blockers.get(name)?.size ?? 0) > 0;
    return blocked && now - movedAt > this.stalledAfterS * 1000 ? 'stalled' : drain.phase;
  }

  blockerOf({ request }: Drain, machine: MachineId = WHOLE): Blocker | null {
    return this.blockers.get(request.name)?.get(machine) ?? null;
  }

  forget(name: DrainName): void {
    this.blockers.delete(name);
    this.previous.delete(name);
    this.movedAt.delete(name);
    this.attemptsLeft.delete(name);
  }
}
