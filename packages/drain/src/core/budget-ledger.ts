/**
 * The ledger of disruptions and the usage of their budgets. A task is disrupted from the decision
 * to stop it, or the loss of its machine, until it runs again, is done or its job ends. Voluntary
 * disruptions are granted only within every budget that they count against; involuntary ones are
 * always counted, even beyond the limit.
 */
import type {
  AttemptId,
  AttemptView,
  FleetView,
  JobSpec,
  JobView,
  Moment,
  TeamName,
} from '@robinspread/extension-api';
import type { Blocker } from './blocker.js';
import {
  allScopes,
  type BudgetScope,
  isCovered,
  type ScopeUsage,
  scopesOf,
} from './budget-scopes.js';
import type { Disruption } from './disruption.js';
import type { DrainSettings } from './settings.js';

/** A grant that no stop has used after this time expires, which frees its budget. */
const GRANT_LIFETIME_MS = 30_000;
/** Longer for a previous leader's grant, since a stop that it sent may still be in transit. */
const INHERITED_GRANT_LIFETIME_MS = 120_000;

const windowStart = (seconds: number, { wallClockMs }: Pick<Moment, 'wallClockMs'>): number =>
  wallClockMs - seconds * 1000;

/** Whether another attempt of the task is running and the disrupted one has been released. */
const isRunningAgain = (job: JobView, { index, attempt }: Disruption): boolean => {
  let isRunning = false;
  for (const other of job.attemptsByTask.get(index) ?? []) {
    if (other.entry.attempt === attempt) return false;
    if (other.phase === 'running' && !other.stopRequest) isRunning = true;
  }
  return isRunning;
};

/** Owns all disruptions of one leader's term and grants new ones within the budgets. */
export class BudgetLedger {
  /** All disruptions that count against a budget, by attempt. */
  readonly disruptions = new Map<AttemptId, Disruption>();
  /** When attempts whose grant expired may get a new one, on the steady clock. */
  private readonly retryBlockedUntil = new Map<AttemptId, number>();
  /** Blockers by team and job class, cached for one decision, whatever the number of tasks. */
  private readonly blockedClasses = new Map<string, Blocker>();

  constructor(private readonly settings: DrainSettings) {}

  private usageOf(scope: BudgetScope, fleet: FleetView, moment: Moment): ScopeUsage {
    let open = 0;
    let inWindow = 0;
    const { window } = scope.limits;
    const from = window ? windowStart(window.seconds, moment) : 0;
    for (const disruption of this.disruptions.values()) {
      if (!isCovered(scope, disruption.team, disruption.jobClass)) continue;
      if (disruption.phase !== 'settled') open += 1;
      if (disruption.phase !== 'settled' || disruption.startedAt >= from) inWindow += 1;
    }
    const limit = this.limitOf(scope, fleet);
    return { scope, open, limit, inWindow: window ? inWindow : null };
  }

  private limitOf(scope: BudgetScope, fleet: FleetView): number | null {
    const { count, share } = scope.limits;
    if (share === null) return count;
    const byShare = Math.floor(share * this.countTasks(scope, fleet));
    return count === null ? byShare : Math.min(count, byShare);
  }

  /** Counts the scope's tasks that are on machines, or are disrupted and on none. */
  private countTasks(scope: BudgetScope, fleet: FleetView): number {
    let tasks = 0;
    for (const { spec, attemptsByTask } of fleet.jobs.values()) {
      if (isCovered(scope, spec.team, spec.jobClass)) tasks += attemptsByTask.size;
    }
    for (const { phase, team, jobClass, job, index } of this.disruptions.values()) {
      if (phase === 'settled' || !isCovered(scope, team, jobClass)) continue;
      if (!fleet.jobs.get(job)?.attemptsByTask.has(index)) tasks += 1;
    }
    return tasks;
  }

  /** Returns a blocker if a budget allows no further disruption in the job class, else null. */
  findBlocker(team: TeamName, jobClass: string, fleet: FleetView, moment: Moment): Blocker | null {
    for (const scope of scopesOf(this.settings, team, jobClass)) {
      const { open, limit, inWindow } = this.usageOf(scope, fleet, moment);
      if (limit !== null && open >= limit)
        return { kind: 'budget', scope: scope.name, used: open, limit };
      const { window } = scope.limits;
      if (window && inWindow !== null && inWindow >= window.count) {
        const { seconds: withinS, count } = window;
        const { name } = scope;
        return { kind: 'window-budget', scope: name, used: inWindow, limit: count, withinS };
      }
    }
    return null;
  }

  /**
   * Requests the disruption of an attempt. Returns the disruption, its blocker, or null if its job
   * has ended or is unknown, or its last grant expired less than `GRANT_LIFETIME_MS` ago.
   */
  requestDisruption(
    attempt: AttemptView,
    fleet: FleetView,
    moment: Moment,
  ): Disruption | Blocker | null {
    const id = attempt.entry.attempt;
    const known = this.disruptions.get(id);
    if (known) return known;
    if (!attempt.job || (this.retryBlockedUntil.get(id) ?? 0) > moment.now) return null;
    const { team, jobClass } = attempt.job.spec;
    const key = JSON.stringify([team, jobClass]);
    const blocker = this.blockedClasses.get(key) ?? this.findBlocker(team, jobClass, fleet, moment);
    if (!blocker) return this.openDisruption(attempt, attempt.job.spec, true, moment);
    this.blockedClasses.set(key, blocker);
    return blocker;
  }

  /** Counts a disruption by a lost machine or a reclaim notice; marks a counted one as stopped. */
  recordInvoluntary(attempt: AttemptView, moment: Moment): void {
    const known = this.disruptions.get(attempt.entry.attempt);
    if (known) {
      if (known.phase !== 'settled') known.phase = 'stopped';
      return;
    }
    if (!attempt.job) return;
    const { spec } = attempt.job;
    if (scopesOf(this.settings, spec.team, spec.jobClass).length > 0)
      this.openDisruption(attempt, spec, false, moment);
  }

  private openDisruption(
    { entry }: AttemptView,
    { team, jobClass }: JobSpec,
    isVoluntary: boolean,
    { wallClockMs }: Moment,
  ): Disruption {
    const disruption: Disruption = {
      attempt: entry.attempt,
      job: entry.job,
      index: entry.index,
      team,
      jobClass,
      startedAt: wallClockMs,
      isVoluntary,
      phase: isVoluntary ? 'requested' : 'stopped',
      recordKey: null,
      grantedAt: null,
      isInherited: false,
    };
    this.disruptions.set(entry.attempt, disruption);
    return disruption;
  }

  /** Drops a disruption whose attempt ended by itself or whose record was refused. */
  withdraw(attempt: AttemptId): void {
    const known = this.disruptions.get(attempt);
    if (!known || known.phase === 'stopped') return;
    // It stays counted, since the previous leader may have sent the stop.
    if (known.isInherited) known.phase = 'stopped';
    else this.disruptions.delete(attempt);
  }

  /** Allows the stop, once the disruption's record is stored. */
  grant(disruption: Disruption, { now }: Moment): void {
    if (disruption.phase !== 'requested') return;
    disruption.phase = 'granted';
    disruption.grantedAt = now;
  }

  /** Whether the attempt may be stopped, or has been. */
  isGranted(attempt: AttemptId): boolean {
    const phase = this.disruptions.get(attempt)?.phase;
    return phase === 'granted' || phase === 'stopped';
  }

  /** Voluntary disruptions whose task is not running again yet. */
  get openVoluntaryCount(): number {
    let open = 0;
    for (const { isVoluntary, phase } of this.disruptions.values()) {
      if (isVoluntary && phase !== 'settled') open += 1;
    }
    return open;
  }

  /** Updates all disruptions from the fleet; called once at the start of each decision. */
  update(fleet: FleetView, moment: Moment): void {
    this.blockedClasses.clear();
    for (const [attempt, until] of this.retryBlockedUntil)
      if (until <= moment.now) this.retryBlockedUntil.delete(attempt);
    for (const disruption of [...this.disruptions.values()])
      this.updateDisruption(disruption, fleet, moment);
    this.pruneSettled(moment);
  }

  private updateDisruption(disruption: Disruption, fleet: FleetView, moment: Moment): void {
    const { phase, job: jobId, index, attempt } = disruption;
    if (phase === 'settled') return;
    const job = fleet.jobs.get(jobId);
    if (job?.terminalState !== 'none' || fleet.isTaskDone(jobId, index)) {
      this.settleFinished(disruption);
      return;
    }
    if (phase === 'stopped') {
      if (isRunningAgain(job, disruption)) disruption.phase = 'settled';
      return;
    }
    const current = job.attemptsByTask.get(index)?.find((view) => view.entry.attempt === attempt);
    if (!current || current.stopRequest) {
      disruption.phase = 'stopped';
      return;
    }
    if (phase === 'granted') this.expireUnusedGrant(disruption, moment);
  }

  private expireUnusedGrant(disruption: Disruption, { now }: Moment): void {
    disruption.grantedAt ??= now;
    const lifetimeMs = disruption.isInherited ? INHERITED_GRANT_LIFETIME_MS : GRANT_LIFETIME_MS;
    if (now - disruption.grantedAt < lifetimeMs) return;
    this.disruptions.delete(disruption.attempt);
    this.retryBlockedUntil.set(disruption.attempt, now + GRANT_LIFETIME_MS);
  }

  /** A stopped task still counts in the budget windows; one that was never stopped does not. */
  private settleFinished(disruption: Disruption): void {
    if (disruption.phase === 'stopped') disruption.phase = 'settled';
    else this.disruptions.delete(disruption.attempt);
  }

  /** Keeps only settled disruptions that count in a window: the newest, as many as it allows. */
  private pruneSettled(moment: Moment): void {
    const settled = [...this.disruptions.values()].filter(({ phase }) => phase === 'settled');
    settled.sort((a, b) => b.startedAt - a.startedAt);
    const keptByScope = new Map<string, number>();
    for (const disruption of settled) {
      if (!this.countTowardsWindows(disruption, keptByScope, moment))
        this.disruptions.delete(disruption.attempt);
    }
  }

  /** Counts a settled disruption in each of its windows that is not full; false if none. */
  private countTowardsWindows(
    { team, jobClass, startedAt }: Disruption,
    keptByScope: Map<string, number>,
    moment: Moment,
  ): boolean {
    let isNeeded = false;
    for (const { name, limits } of scopesOf(this.settings, team, jobClass)) {
      const { window } = limits;
      const kept = keptByScope.get(name) ?? 0;
      if (!window || startedAt < windowStart(window.seconds, moment) || kept >= window.count)
        continue;
      keptByScope.set(name, kept + 1);
      isNeeded = true;
    }
    return isNeeded;
  }

  /** The usage of every scope that has a budget. */
  listUsage(fleet: FleetView, moment: Moment): ScopeUsage[] {
    return allScopes(this.settings, fleet).map((scope) => this.usageOf(scope, fleet, moment));
  }
}
