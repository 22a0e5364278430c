/**
 * Disruptions that no drain requests: evictions of replicas by the core, reclaim notices, and
 * attempts lost with their machines.
 */
import type { AttemptId, AttemptRelease, AttemptView, Moment } from '@robinspread/extension-api';
import type { BudgetLedger } from './budget-ledger.js';
import type { DecisionContext } from './decision-context.js';
import type { DrainRegistry } from './drain-registry.js';
import { isBeingLost } from './machine-selection.js';

/** Interval of checks for reclaim notices, which are not reported as events. */
const RECLAIM_SCAN_INTERVAL_MS = 500;

const hasBegun = ({ phase }: AttemptView): boolean =>
  phase === 'fetching' ||
  phase === 'running' ||
  phase === 'checkpointing' ||
  phase === 'unconfirmed';

const isUnfinished = ({ job, isSuperseded, phase }: AttemptView): boolean =>
  job?.terminalState === 'none' && !isSuperseded && phase !== 'ended';

/** Records in the budget ledger the disruptions that the core or the cloud causes. */
export class DisruptionTracker {
  /** Replicas that the core wants to evict; the next decision requests their disruption. */
  private readonly evictionRequests = new Map<AttemptId, AttemptView>();
  /** When the fleet is next checked for reclaim notices, on the steady clock. */
  private nextReclaimScanAt = 0;

  constructor(
    private readonly registry: DrainRegistry,
    private readonly budget: BudgetLedger,
  ) {}

  /**
   * Whether the core may evict a replica now. Unless a drain requests the disruption, the next
   * decision does. The core may empty a draining machine, such as one on which jobs fail, whatever
   * the phase of its drain.
   */
  mayEvictReplica(attempt: AttemptView): boolean {
    const drain = this.registry.drainOf(attempt.machine.id);
    const { isDraining } = attempt.machine;
    if (drain && drain.phase !== 'running' && !isDraining) return false;
    if (this.budget.isGranted(attempt.entry.attempt)) return true;
    if (!drain || isDraining) this.evictionRequests.set(attempt.entry.attempt, attempt);
    return false;
  }

  /** Requests the disruption of replicas that the core wants to evict. */
  requestEvictions({ fleet, moment }: DecisionContext): void {
    for (const attempt of this.evictionRequests.values())
      this.budget.requestDisruption(attempt, fleet, moment);
    this.evictionRequests.clear();
  }

  /** Records tasks stopped because of a reclaim notice. */
  recordReclaimNotices({ fleet, moment }: DecisionContext): void {
    if (moment.now < this.nextReclaimScanAt) return;
    this.nextReclaimScanAt = moment.now + RECLAIM_SCAN_INTERVAL_MS;
    for (const machine of fleet.machines.values()) {
      if (machine.reclaimAt === null) continue;
      for (const attempt of machine.placements.values()) {
        if (isUnfinished(attempt) && attempt.stopRequest)
          this.budget.recordInvoluntary(attempt, moment);
      }
    }
  }

  /** Handles an attempt that is certainly no longer on its machine. */
  handleReleased(attempt: AttemptView, release: AttemptRelease, moment: Moment): void {
    const { job, machine, stopRequest, isSuperseded } = attempt;
    if (!hasBegun(attempt) || job?.terminalState !== 'none' || isSuperseded) return;
    const { attempt: id } = attempt.entry;
    const isMachineBeingLost = isBeingLost(machine);
    if (stopRequest && !isMachineBeingLost) {
      // The ledger holds stops by this package, but not preemptions or stops of rival attempts.
      if (this.budget.disruptions.has(id)) this.budget.recordInvoluntary(attempt, moment);
      return;
    }
    if (release === 'gone' || stopRequest) this.budget.recordInvoluntary(attempt, moment);
    else this.budget.withdraw(id);
  }
}
