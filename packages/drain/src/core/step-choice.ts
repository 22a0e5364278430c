/** Which machines the next step of a drain takes. */
import type { MachineId, MachineView } from '@robinspread/extension-api';
import { HeadGuard } from './head-check.js';
import { byDisturbance, isGoing, membersOf } from './selection.js';
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

/** Chooses those whose loss disturbs least. `inUse`: machines of steps under way, and their replacements. */
export const chooseStep = (
  drain: Drain,
  letEndS: number,
  inUse: (machine: MachineId) => boolean,
  { fleet, moment }: Turn,
): StepChoice => {
  const members = membersOf(drain, fleet, moment);
  // Of a machine that has not reported to this leader only a former leader's ledger, or a list that lags, may tell.
  const free = members.filter((m) => m.everSeen && !isGoing(m) && !m.cordoned && !inUse(m.id));
  const left = members.length;
  if (free.length === 0) return { left, chosen: [], blocker: { kind: 'busy-elsewhere', machines: left } };
  const guard = drain.request.replace ? null : new HeadGuard(fleet);
  const size = stepSizeOf(drain);
  const chosen: MachineView[] = [];
  let blocker: Blocker | null = null;
  for (const { machine } of byDisturbance(free, letEndS, moment)) {
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
