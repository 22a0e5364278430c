/** Which machines a drain is for, and in which order they are taken: those whose loss disturbs least come first. */
import type { AttemptView, FleetView, MachineView, Moment } from '@robinspread/extension-api';
import type { Drain, Selector } from './types.js';

/** Whether a machine meets a selector's criteria; `ageS`: how old it was when the drain began. */
export const meets = (selector: Selector, machine: MachineView, ageS: number): boolean => {
  const { machines, type, zone, spot, minAgeS, image } = selector;
  if (machines && !machines.includes(machine.id)) return false;
  if (type !== null && machine.type !== type) return false;
  if (zone !== null && machine.zone !== zone) return false;
  if (spot !== null && machine.spot !== spot) return false;
  if (minAgeS !== null && ageS < minAgeS) return false;
  return image === null || machine.images.has(image);
};

/** The machines that a drain is still for, those of the current step included. */
export const membersOf = (drain: Drain, fleet: FleetView, moment: Moment): MachineView[] => {
  const sinceStartS = (moment.timeOfDay - drain.startedAt) / 1000;
  const members: MachineView[] = [];
  for (const machine of fleet.machines.values()) {
    if (machine.id > drain.lastMachine) continue;
    const ageS = (moment.now - machine.provisionedAt) / 1000 - sinceStartS;
    if (meets(drain.request.selector, machine, ageS)) members.push(machine);
  }
  return members;
};

/** What is on a machine, by how it can leave. */
export interface MachineWork {
  /** Arrays' tasks that save, and do not end soon. */
  readonly stoppable: readonly AttemptView[];
  readonly replicas: readonly AttemptView[];
  /** Tasks that are let run to their end. */
  readonly ending: readonly AttemptView[];
  /** Attempts that have been told to stop, or whose job is over. */
  readonly stopping: number;
  /** Attempts that have ended and whose results the machine still holds. */
  readonly ended: number;
  /** By estimate, when the last of `ending` has ended. */
  readonly endsInMs: number;
}

/** When a task ends by its estimate; one that outlasts it may end at any moment. */
const remainingMs = (attempt: AttemptView, { now }: Moment): number => {
  const estimateMs = (attempt.job?.spec.estimateS ?? 0) * 1000;
  const ranMs = attempt.startedAt === null ? 0 : now - attempt.startedAt;
  return Math.max(0, estimateMs - ranMs);
};

/** Sorts what is on a machine by how it can leave. */
export const workOn = (machine: MachineView, letEndS: number, moment: Moment): MachineWork => {
  const stoppable: AttemptView[] = [];
  const replicas: AttemptView[] = [];
  const ending: AttemptView[] = [];
  let stopping = 0;
  let ended = 0;
  let endsInMs = 0;
  for (const attempt of machine.placements.values()) {
    const { job, stopRequest, phase } = attempt;
    if (phase === 'ended') {
      ended += 1;
      continue;
    }
    if (stopRequest || !job || job.terminalState !== 'none' || attempt.isSuperseded) {
      stopping += 1;
      continue;
    }
    if (job.spec.shape === 'service') {
      replicas.push(attempt);
      continue;
    }
    const leftMs = remainingMs(attempt, moment);
    if (job.spec.checkpointIntervalS > 0 && leftMs > letEndS * 1000) stoppable.push(attempt);
    else {
      ending.push(attempt);
      endsInMs = Math.max(endsInMs, leftMs);
    }
  }
  return { stoppable, replicas, ending, stopping, ended, endsInMs };
};

/** How much taking a machine out of use disturbs; smaller is better. */
export interface Disturbance {
  readonly machine: MachineView;
  readonly work: MachineWork;
  /** 0: idle; 1: all its work saves; 2: some has to end or to move first. */
  readonly rank: number;
}

const rankOf = ({ stoppable, replicas, ending, stopping }: MachineWork): number => {
  if (replicas.length + ending.length > 0) return 2;
  return stoppable.length + stopping > 0 ? 1 : 0;
};

/** The machines in the order in which they are taken. */
export const byDisturbance = (
  machines: readonly MachineView[],
  letEndS: number,
  moment: Moment,
): Disturbance[] =>
  machines
    .map((machine) => {
      const work = workOn(machine, letEndS, moment);
      return { machine, work, rank: rankOf(work) };
    })
    .sort(
      (a, b) =>
        a.rank - b.rank ||
        a.work.endsInMs - b.work.endsInMs ||
        a.work.replicas.length - b.work.replicas.length ||
        (a.machine.id < b.machine.id ? -1 : 1),
    );

/** The cloud takes it, or it is lost: what is on it is left to the ordinary path. */
export const isBeingLost = (machine: MachineView): boolean =>
  machine.isDeleting || machine.lostAt !== null || machine.reclaimAt !== null;

/** A machine that is about to leave the fleet anyway. */
export const isGoing = (machine: MachineView): boolean =>
  machine.isDraining || isBeingLost(machine);
