/**
 * Disruptions that no drain asks for: replicas that leave machines by the core's own decision,
 * reclaim notices, and attempts that are lost with their machines.
 */
import type { AttemptId, AttemptView, MachineView, Moment } from '@robinspread/extension-api';
import type { BudgetLedger } from './budget-ledger.js';
import type { DecisionContext } from './decision-context.js';
import type { DrainRegistry } from './drain-registry.js';

/** How often reclaim notices are looked for; events tell of what they end. */
const NOTICE_SCAN_MS = 500;

const hasBegun = ({ phase }: AttemptView): boolean =>
  phase === 'fetching' ||
  phase === 'running' ||
  phase === 'checkpointing' ||
  phase === 'unconfirmed';

const isBeingTaken = ({ reclaimAt, lostAt, isDeleting }: MachineView): boolean =>
  reclaimAt !== null || lostAt !== null || isDeleting;

const isUnfinished = ({ job, isSuperseded, phase }: AttemptView): boolean =>
  job?.terminalState === 'none' && !isSuperseded && phase !== 'ended';

/** Keeps the budget ledger in step with what the core and the cloud decide. */
export class DisruptionTracker {
  /** Replicas that the core would evict, until the next decision asks the budgets for them. */
  private readonly evictionRequests = new Map<AttemptId, AttemptView>();
  /** When the fleet is next looked through for notices, on the steady clock. */
  private nextNoticeScanAt = 0;

  constructor(
    private readonly registry: DrainRegistry,
    private readonly budget: BudgetLedger,
  ) {}

  /**
   * Whether the core may evict a replica now; where no drain asks for it, the next decision does.
   * A machine that fails jobs leaves whatever becomes of its drain.
   */
  mayEvictReplica(attempt: AttemptView): boolean {
    const drain = this.registry.drainOf(attempt.machine.id);
    const { isDraining } = attempt.machine;
    if (drain && drain.phase !== 'running' && !isDraining) return false;
    if (this.budget.isGranted(attempt.entry.attempt)) return true;
    if (!drain || isDraining) this.evictionRequests.set(attempt.entry.attempt, attempt);
    return false;
  }

  /** Asks the budgets for the evictions that the core would make. */
  requestEvictions({ fleet, moment }: DecisionContext): void {
    for (const attempt of this.evictionRequests.values())
      this.budget.requestDisruption(attempt, fleet, moment);
    this.evictionRequests.clear();
  }

  /** Tasks that a reclaim notice stops are disrupted from that moment on. */
  recordReclaimNotices({ fleet, moment }: DecisionContext): void {
    if (moment.now < this.nextNoticeScanAt) return;
    this.nextNoticeScanAt = moment.now + NOTICE_SCAN_MS;
    for (const machine of fleet.machines.values()) {
      if (machine.reclaimAt === null) continue;
      for (const attempt of machine.placements.values()) {
        if (isUnfinished(attempt) && attempt.stopRequest)
          this.budget.recordInvoluntary(attempt, moment);
      }
    }
  }

  /** An attempt is certainly not on its machine any more. */
  handleReleased(attempt: AttemptView, how: 'reported' | 'gone', moment: Moment): void {
    const { job, machine, stopRequest, isSuperseded } = attempt;
    if (!hasBegun(attempt) || job?.terminalState !== 'none' || isSuperseded) return;
    const { attempt: id } = attempt.entry;
    const isTaken = isBeingTaken(machine);
    if (stopRequest && !isTaken) {
      // A stop of this package is in the ledger; preemption and stops of rival attempts are not.
      if (this.budget.disruptions.has(id)) this.budget.recordInvoluntary(attempt, moment);
      return;
    }
    if (how === 'gone' || stopRequest) this.budget.recordInvoluntary(attempt, moment);
    else this.budget.withdraw(id);
  }
}
