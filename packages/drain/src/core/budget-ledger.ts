/**
 * The ledger of disruptions and the use of their budgets. A task is disrupted from the moment its
 * stop is decided, or its machine is known to be lost, until it runs again, is done, or its job is
 * over. Voluntary disruptions wait until every budget they count against has room; involuntary
 * ones never wait but count all the same.
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

/** A grant whose stop has not begun after this long is given back, so that others may use it. */
const GRANT_MS = 30_000;
/** For an inherited grant: the former leader may have sent its stop, and it is still under way. */
const INHERITED_GRANT_MS = 120_000;

const windowStart = (seconds: number, { wallClockMs }: Pick<Moment, 'wallClockMs'>): number =>
  wallClockMs - seconds * 1000;

/** Whether another attempt of the task runs, and the disrupted one is proven gone. */
const isRunningAgain = (job: JobView, { index, attempt }: Disruption): boolean => {
  let isRunning = false;
  for (const other of job.attemptsByTask.get(index) ?? []) {
    if (other.entry.attempt === attempt) return false;
    if (other.phase === 'running' && !other.stopRequest) isRunning = true;
  }
  return isRunning;
};

/** Owns all disruptions of one leader's term, and grants new ones as far as the budgets allow. */
export class BudgetLedger {
  /** All disruptions that count, by attempt. */
  readonly disruptions = new Map<AttemptId, Disruption>();
  /** Attempts whose grant lapsed, and until when they are not considered again. */
  private readonly lapsedUntil = new Map<AttemptId, number>();
  /** Teams' job classes without room in this decision: asked once, whatever the number of tasks. */
  private readonly blockedClasses = new Map<string, Blocker>();

  constructor(private readonly settings: DrainSettings) {}

  /** How much of a scope is in use. */
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

  /** The scope's tasks that are on machines, or are disrupted and on none. */
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

  /** What keeps one more task of this team and job class from being disrupted; null: nothing. */
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
   * Asks to disrupt an attempt. Returns its disruption, what keeps it from being granted, or null
   * when its job is over or a grant of it lapsed a short while ago.
   */
  requestDisruption(
    attempt: AttemptView,
    fleet: FleetView,
    moment: Moment,
  ): Disruption | Blocker | null {
    const id = attempt.entry.attempt;
    const known = this.disruptions.get(id);
    if (known) return known;
    if (!attempt.job || (this.lapsedUntil.get(id) ?? 0) > moment.now) return null;
    const { team, jobClass } = attempt.job.spec;
    const key = JSON.stringify([team, jobClass]);
    const blocker = this.blockedClasses.get(key) ?? this.findBlocker(team, jobClass, fleet, moment);
    if (!blocker) return this.openDisruption(attempt, attempt.job.spec, true, moment);
    this.blockedClasses.set(key, blocker);
    return blocker;
  }

  /** Counts a disruption that was not decided here: a lost machine, a reclaim notice. */
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

  /** The attempt ended by itself before it was stopped: nothing was disrupted. */
  withdraw(attempt: AttemptId): void {
    const known = this.disruptions.get(attempt);
    if (!known || known.phase === 'stopped') return;
    // The former leader may have sent its stop.
    if (known.isInherited) known.phase = 'stopped';
    else this.disruptions.delete(attempt);
  }

  /** Its record is stored: from now on it may be stopped. */
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

  /** Voluntary disruptions whose work does not run again yet. */
  get openVoluntaryCount(): number {
    let open = 0;
    for (const { isVoluntary, phase } of this.disruptions.values()) {
      if (isVoluntary && phase !== 'settled') open += 1;
    }
    return open;
  }

  /** Brings every disruption up to date with the fleet; called once at the start of a decision. */
  update(fleet: FleetView, moment: Moment): void {
    this.blockedClasses.clear();
    for (const [attempt, until] of this.lapsedUntil)
      if (until <= moment.now) this.lapsedUntil.delete(attempt);
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
    if (phase === 'granted') this.lapseUnusedGrant(disruption, moment);
  }

  private lapseUnusedGrant(disruption: Disruption, { now }: Moment): void {
    disruption.grantedAt ??= now;
    const lifeMs = disruption.isInherited ? INHERITED_GRANT_MS : GRANT_MS;
    if (now - disruption.grantedAt < lifeMs) return;
    this.disruptions.delete(disruption.attempt);
    this.lapsedUntil.set(disruption.attempt, now + GRANT_MS);
  }

  /** A task that was never stopped counts for nothing, one that was counts for the window. */
  private settleFinished(disruption: Disruption): void {
    if (disruption.phase === 'stopped') disruption.phase = 'settled';
    else this.disruptions.delete(disruption.attempt);
  }

  /** Settled ones are kept while a window may need them: the newest, as many as it allows. */
  private pruneSettled(moment: Moment): void {
    const settled = [...this.disruptions.values()].filter(({ phase }) => phase === 'settled');
    settled.sort((a, b) => b.startedAt - a.startedAt);
    const keptByScope = new Map<string, number>();
    for (const disruption of settled) {
      if (!this.isNeededByWindow(disruption, keptByScope, moment))
        this.disruptions.delete(disruption.attempt);
    }
  }

  /** Whether a window still needs the disruption; counts it in each scope that does. */
  private isNeededByWindow(
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

  /** The use of every scope that a budget is stated for, for operators. */
  listUsage(fleet: FleetView, moment: Moment): ScopeUsage[] {
    return allScopes(this.settings, fleet).map((scope) => this.usageOf(scope, fleet, moment));
  }
}
