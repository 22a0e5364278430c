/** Selects a drain's machines, classifies their work, and ranks the least disruptive first. */
import type {
  AttemptView,
  FleetView,
  MachineId,
  MachineView,
  Moment,
} from '@robinspread/extension-api';
import type { Drain, Selector } from './drain.js';

/** Whether a machine meets the selector, apart from its age. */
const matchesSelector = (selector: Selector, machine: MachineView): boolean => {
  const { machines, type, zone, spot, image } = selector;
  if (machines && !machines.includes(machine.id)) return false;
  if (type !== null && machine.type !== type) return false;
  if (zone !== null && machine.zone !== zone) return false;
  if (spot !== null && machine.spot !== spot) return false;
  return image === null || machine.images.has(image);
};

/** Whether a machine had the selector's age when the drain started. */
const wasOldEnough = (drain: Drain, machine: MachineView, moment: Moment): boolean => {
  const { minAgeS } = drain.request.selector;
  if (minAgeS === null) return true;
  // Machine ids ascend in the order of creation.
  if (drain.newestOfAge !== undefined) return machine.id <= drain.newestOfAge;
  const sinceStartS = (moment.wallClockMs - drain.startedAt) / 1000;
  return (moment.now - machine.provisionedAt) / 1000 - sinceStartS >= minAgeS;
};

/** The newest machine that has the age now; undefined without one. */
export const findNewestOfAge = (
  minAgeS: number,
  fleet: FleetView,
  moment: Moment,
): MachineId | undefined => {
  let newest: MachineId | undefined;
  for (const { id, provisionedAt } of fleet.machines.values()) {
    if ((moment.now - provisionedAt) / 1000 < minAgeS) continue;
    if (newest === undefined || id > newest) newest = id;
  }
  return newest;
};

/** The machines still to be drained, including those of the current step. */
export const remainingMachines = (
  drain: Drain,
  fleet: FleetView,
  moment: Moment,
): MachineView[] => {
  const remaining: MachineView[] = [];
  for (const machine of fleet.machines.values()) {
    if (machine.id > drain.newestMachineAtStart) continue;
    if (!wasOldEnough(drain, machine, moment)) continue;
    if (matchesSelector(drain.request.selector, machine)) remaining.push(machine);
  }
  return remaining;
};

/** The attempts on a machine, by how they can be removed. */
export interface MachineWork {
  /** Tasks of arrays that write checkpoints and are not expected to end soon. */
  readonly stoppable: readonly AttemptView[];
  readonly replicas: readonly AttemptView[];
  /** Other tasks of arrays, which are left to finish. */
  readonly finishing: readonly AttemptView[];
  /** Number of attempts that are being stopped or superseded, or whose job has ended. */
  readonly stopping: number;
  /** Number of ended attempts whose results the machine still holds. */
  readonly ended: number;
  /** Estimated time until the last task of `finishing` ends. */
  readonly finishesInMs: number;
}

/** Estimated time until a task ends; 0 for one that has outlasted its estimate. */
const remainingMs = (attempt: AttemptView, { now }: Moment): number => {
  const estimateMs = (attempt.job?.spec.estimateS ?? 0) * 1000;
  const ranMs = attempt.startedAt === null ? 0 : now - attempt.startedAt;
  return Math.max(0, estimateMs - ranMs);
};

/**
 * Classifies a machine's work. Tasks that end within `letEndS` by their estimate, or write no
 * checkpoints, are left to finish.
 */
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

/** A machine that may be drained; candidates of lower rank are drained first. */
export interface DrainCandidate {
  readonly machine: MachineView;
  readonly work: MachineWork;
  /** 0: no unfinished work; 1: all of it is stoppable or stopping; 2: some has to end or move. */
  readonly rank: number;
}

const rankOf = ({ stoppable, replicas, finishing, stopping }: MachineWork): number => {
  if (replicas.length + finishing.length > 0) return 2;
  return stoppable.length + stopping > 0 ? 1 : 0;
};

/** Sorts machines, the least disruptive to drain first. */
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

/** Whether a machine is lost, reclaimed or being deleted; the core then handles its work. */
export const isBeingLost = (machine: MachineView): boolean =>
  machine.isDeleting || machine.lostAt !== null || machine.reclaimAt !== null;

/** Whether a machine is about to leave the fleet. */
export const isLeaving = (machine: MachineView): boolean =>
  machine.isDraining || isBeingLost(machine);
