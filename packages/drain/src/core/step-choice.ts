/** Which machines the next step of a drain takes. */
import type {
  AttemptView,
  MachineId,
  MachineView,
  Moment,
  TeamName,
} from '@robinspread/extension-api';
import { HeadGuard } from './head-check.js';
import { byDisturbance, type Disturbance, isGoing, membersOf } from './selection.js';
import type { Turn } from './turn.js';
import type { Blocker, Drain } from './types.js';

/** How many machines one step takes. */
export const stepSizeOf = ({ request, total }: Drain): number => {
  const { stepSize } = request;
  if (stepSize.kind === 'count') return stepSize.count;
  return Math.max(1, Math.floor(stepSize.share * total));
};

/** The machines of the next step; or why there is none, where some are left. */
export interface StepChoice {
  /** Machines that the drain is still for. */
  readonly left: number;
  readonly chosen: readonly MachineView[];
  readonly blocker: Blocker | null;
}

/** What the rest of the package knows of machines and of their work. */
export interface StepContext {
  readonly letEndS: number;
  /** Part of a step under way, or a replacement in one. */
  readonly inUse: (machine: MachineId) => boolean;
  /** What keeps one more task of this kind from being disrupted. */
  readonly budgetBlocker: (team: TeamName, jobClass: string) => Blocker | null;
}

/** Machines in the order in which they are taken: first those that the budgets let go of now, as far as they reach. */
export const orderForStep = (
  machines: readonly MachineView[],
  { letEndS, budgetBlocker }: StepContext,
  moment: Moment,
): Disturbance[] => {
  const blocked = new Map<string, boolean>();
  const isBlocked = ({ job }: AttemptView): boolean => {
    if (!job) return false;
    const { team, jobClass } = job.spec;
    const kind = JSON.stringify([team, jobClass]);
    const known = blocked.get(kind) ?? budgetBlocker(team, jobClass) !== null;
    blocked.set(kind, known);
    return known;
  };
  const order = byDisturbance(machines, letEndS, moment);
  const isHeld = ({ work }: Disturbance): boolean =>
    work.stoppable.some(isBlocked) || work.replicas.some(isBlocked);
  return [...order.filter((item) => !isHeld(item)), ...order.filter(isHeld)];
};

/** Chooses those whose loss disturbs least. */
export const chooseStep = (
  drain: Drain,
  context: StepContext,
  { fleet, moment }: Turn,
): StepChoice => {
  const members = membersOf(drain, fleet, moment);
  // Of a machine that has not reported to this leader only a former leader's ledger, or a list that lags, may tell.
  const free = members.filter(
    (machine) =>
      machine.hasReported && !isGoing(machine) && !machine.isCordoned && !context.inUse(machine.id),
  );
  const left = members.length;
  if (free.length === 0)
    return { left, chosen: [], blocker: { kind: 'busy-elsewhere', machines: left } };
  const guard = drain.request.replace ? null : new HeadGuard(fleet);
  const size = stepSizeOf(drain);
  const chosen: MachineView[] = [];
  let blocker: Blocker | null = null;
  for (const { machine } of orderForStep(free, context, moment)) {
    if (chosen.length >= size) break;
    const kept = guard?.blocker(machine.id) ?? null;
    if (kept) {
      blocker = kept;
      continue;
    }
    chosen.push(machine);
    guard?.letGo(machine.id);
  }
  return { left, chosen, blocker };
};
