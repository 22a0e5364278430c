/** Machine deletions: selects machines and requests their deletion from the cloud. */

import type { CoreState } from '../core-state.js';
import type { Effect } from '../model/effect.js';
import type { Machine } from '../model/entities.js';
import type { MachineId } from '../model/ids.js';
import type { Instant } from '../model/time.js';

/** Maximum machines deleted per tick; later ticks delete the rest. */
const MAX_MACHINES_PER_DELETION = 100;
/** Boot time assumed for a machine whose type is unknown. */
const DEFAULT_BOOT_S = 60;
const BOOT_TIMEOUT_MARGIN_MS = 15_000;

/**
 * Whether a machine has sent no heartbeat within its boot timeout. A new leader may discover a
 * machine long after its boot, so the machine also gets one worker lease to report to it.
 */
const hasBootTimedOut = (state: CoreState, machine: Machine, now: Instant): boolean => {
  // One with attempts has been up: the time of silent machines applies to it.
  if (machine.hasReported || machine.placements.size > 0) return false;
  const { policy, workerLeaseMs } = state.config;
  const bootMs = (state.types.get(machine.type)?.bootS ?? DEFAULT_BOOT_S) * 1000;
  const timeoutMs = policy.bootTimeoutFactor * bootMs + BOOT_TIMEOUT_MARGIN_MS;
  return now - machine.provisionedAt > timeoutMs && now - machine.firstSeenAt > workerLeaseMs;
};

/** Returns the reason for deleting a machine, as logged, or null to keep it. */
const deletionReason = (state: CoreState, machine: Machine, now: Instant): string | null => {
  if (machine.isUnreachable) return 'unreachable';
  if (machine.lostAt !== null) return machine.lostReason;
  if (hasBootTimedOut(state, machine, now)) return 'bootTimedOut';
  if (machine.isDraining && machine.placements.size === 0) return 'drained';
  return null;
};

/** Marks machines as deleting and returns the effects that delete them. */
export const planDeletions = (state: CoreState, now: Instant): Effect[] => {
  const machines: MachineId[] = [];
  const countByReason: Record<string, number> = {};
  for (const machine of state.machines.values()) {
    if (machines.length >= MAX_MACHINES_PER_DELETION) break;
    if (machine.isDeleting || now < machine.deleteNotBefore) continue;
    const reason = deletionReason(state, machine, now);
    if (reason === null) continue;
    machine.isDeleting = true;
    machines.push(machine.id);
    countByReason[reason] = (countByReason[reason] ?? 0) + 1;
  }
  if (machines.length === 0) return [];
  return [
    { kind: 'log', level: 'info', text: 'deleting machines', fields: countByReason },
    { kind: 'delete-machines', machines },
  ];
};
