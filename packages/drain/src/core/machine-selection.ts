/** Which machines a drain is for, what is on them, and which of them disturb least when drained. */
import type { AttemptView, FleetView, MachineView, Moment } from '@robinspread/extension-api';
import type { Drain, Selector } from './drain.js';

/** Whether a machine meets a selector's criteria; `ageS`: how old it was when the drain began. */
export const matchesSelector = (
  selector: Selector,
  machine: MachineView,
  ageS: number,
): boolean => {
  const { machines, type, zone, spot, minAgeS, image } = selector;
  if (machines && !machines.includes(machine.id)) return false;
  if (type !== null && machine.type !== type) return false;
  if (zone !== null && machine.zone !== zone) return false;
  if (spot !== null && machine.spot !== spot) return false;
  if (minAgeS !== null && ageS < minAgeS) return false;
  return image === null || machine.images.has(image);
};

/** The machines that a drain is still for, those of the current step included. */
export const remainingMachines = (
  drain: Drain,
  fleet: FleetView,
  moment: Moment,
): MachineView[] => {
  const sinceStartS = (moment.wallClockMs - drain.startedAt) / 1000;
  const remaining: MachineView[] = [];
  for (const machine of fleet.machines.values()) {
    if (machine.id > drain.newestMachineAtStart) continue;
    const ageS = (moment.now - machine.provisionedAt) / 1000 - sinceStartS;
    if (matchesSelector(drain.request.selector, machine, ageS)) remaining.push(machine);
  }
  return remaining;
};

/** What is on a machine, by how it can leave. */
export interface MachineWork {
  /** Arrays' tasks that write checkpoints, and do not finish soon. */
  readonly stoppable: readonly AttemptView[];
  readonly replicas: readonly AttemptView[];
  /** Tasks that are left to run to their end. */
  readonly finishing: readonly AttemptView[];
  /** Attempts that have been told to stop, or whose job is over. */
  readonly stopping: number;
  /** Attempts that have ended and whose results the machine still holds. */
  readonly ended: number;
  /** By estimate, when the last of `finishing` has ended. */
  readonly finishesInMs: number;
}

/** When a task ends by its estimate; one that outlasts it may end at any moment. */
const remainingMs = (attempt: AttemptView, { now }: Moment): number => {
  const estimateMs = (attempt.job?.spec.estimateS ?? 0) * 1000;
  const ranMs = attempt.startedAt === null ? 0 : now - attempt.startedAt;
  return Math.max(0, estimateMs - ranMs);
};

/** Sorts what is on a machine by how it can leave; `letEndS`: how soon work must end to be left. */
export const classifyWork = (
  machine: MachineView,
  letEndS: number,
  moment: Moment,
): MachineWork => {
  const stoppable: AttemptView[] = [];
  const replicas: AttemptView[] = [];
  const finishing: AttemptView[] = [];
  let stopping = 0;
  let ended = 0;
  let finishesInMs = 0;
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
      finishing.push(attempt);
      finishesInMs = Math.max(finishesInMs, leftMs);
    }
  }
  return { stoppable, replicas, finishing, stopping, ended, finishesInMs };
};

/** A machine that may be drained, and how much that disturbs; smaller ranks go first. */
export interface DrainCandidate {
  readonly machine: MachineView;
  readonly work: MachineWork;
  /** 0: idle; 1: all its work writes checkpoints; 2: some has to end or to move first. */
  readonly rank: number;
}

const rankOf = ({ stoppable, replicas, finishing, stopping }: MachineWork): number => {
  if (replicas.length + finishing.length > 0) return 2;
  return stoppable.length + stopping > 0 ? 1 : 0;
};

/** The machines in the order in which they are drained: the least disturbing first. */
export const rankCandidates = (
  machines: readonly MachineView[],
  letEndS: number,
  moment: Moment,
): DrainCandidate[] =>
  machines
    .map((machine) => {
      const work = classifyWork(machine, letEndS, moment);
      return { machine, work, rank: rankOf(work) };
    })
    .sort(
      (a, b) =>
        a.rank - b.rank ||
        a.work.finishesInMs - b.work.finishesInMs ||
        a.work.replicas.length - b.work.replicas.length ||
        (a.machine.id < b.machine.id ? -1 : 1),
    );

/** The cloud reclaims it, or it is lost: what is on it is left to the core. */
export const isBeingLost = (machine: MachineView): boolean =>
  machine.isDeleting || machine.lostAt !== null || machine.reclaimAt !== null;

/** A machine that is about to leave the fleet anyway. */
export const isLeaving = (machine: MachineView): boolean =>
  machine.isDraining || isBeingLost(machine);
