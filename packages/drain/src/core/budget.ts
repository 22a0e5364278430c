/**
 * Disruption budgets. A task or replica is disrupted from the moment its stop is decided, or its machine is known to be lost,
 * until it runs again, is done, or its job is over. Voluntary disruptions wait until every budget they count against has room;
 * involuntary ones never wait but count all the same.
 */
import type {
  Attempt,
  AttemptView,
  FleetView,
  JobId,
  Moment,
  TaskIndex,
  TeamName,
} from '@robinspread/extension-api';
import type { BudgetLimits, DrainSettings } from './settings.js';
import type { Blocker } from './types.js';

/**
 * asked: its record is not stored yet; granted: it may be stopped; stopped: it is being stopped or has been;
 * settled: it runs again or need not, and counts for the window alone.
 */
export type DisruptionPhase = 'asked' | 'granted' | 'stopped' | 'settled';

/** One task that is, or may be, disrupted. */
export interface Disruption {
  readonly attempt: Attempt;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly team: TeamName;
  readonly jobClass: string;
  /** Time of day. */
  readonly at: number;
  voluntary: boolean;
  phase: DisruptionPhase;
  /** The key of the record that tells of it; null until it has one. */
  record: string | null;
  /** When it was granted, on the steady clock; a grant that is not used in time lapses. */
  grantedAt: number | null;
  /** Read from the state service: whether its stop went out is not known. */
  readonly inherited: boolean;
}

/** What a budget covers: a team, or one class of a team. */
export interface Scope {
  readonly name: string;
  readonly team: TeamName;
  readonly jobClass: string | null;
  readonly limits: BudgetLimits;
}

/** How much of a scope's budget is in use. */
export interface ScopeUse {
  readonly scope: Scope;
  /** Disrupted now. */
  readonly open: number;
  /** At once, as the limits stand now; null: no limit. */
  readonly limit: number | null;
  /** Disrupted within the window; null where none is stated. */
  readonly recent: number | null;
}

/** A grant whose stop has not begun after this long is given back, so that others may use it. */
const GRANT_MS = 30_000;
/** Of an inherited one the stop may be under way for longer. */
const INHERITED_GRANT_MS = 120_000;

const covers = (scope: Scope, team: TeamName, jobClass: string): boolean =>
  scope.team === team && (scope.jobClass === null || scope.jobClass === jobClass);

export class BudgetLedger {
  readonly disruptions = new Map<Attempt, Disruption>();
  /** Attempts whose grant lapsed, and until when they are not considered again. */
  private readonly lapsed = new Map<Attempt, number>();

  /** Kinds of work that had no room in this turn: asked about once, however many tasks there are of them. */
  private readonly blocked = new Map<string, Blocker>();

  constructor(private readonly settings: DrainSettings) {}

  /** The budgets that a task counts against. */
  scopesOf(team: TeamName, jobClass: string): Scope[] {
    const budget = this.settings.teams.get(team);
    if (!budget) {
      const limits = this.settings.defaultBudget;
      return limits ? [{ name: `team ${team}`, team, jobClass: null, limits }] : [];
    }
    const whole: Scope = { name: `team ${team}`, team, jobClass: null, limits: budget.limits };
    const limits = budget.classes.get(jobClass);
    // The narrower one first: it says more about what holds work up.
    return limits
      ? [{ name: `team ${team} class ${jobClass}`, team, jobClass, limits }, whole]
      : [whole];
  }

  /** How much of a scope is in use. */
  use(scope: Scope, fleet: FleetView, moment: Moment): ScopeUse {
    let open = 0;
    let recent = 0;
    const { window } = scope.limits;
    const from = window ? moment.timeOfDay - window.seconds * 1000 : 0;
    for (const disruption of this.disruptions.values()) {
      if (!covers(scope, disruption.team, disruption.jobClass)) continue;
      if (disruption.phase !== 'settled') open += 1;
      if (disruption.phase !== 'settled' || disruption.at >= from) recent += 1;
    }
    return {
      scope,
      open,
      limit: this.limitOf(scope, fleet),
      recent: window ? recent : null,
    };
  }

  private limitOf(scope: Scope, fleet: FleetView): number | null {
    const { team, jobClass, limits } = scope;
    const { count, share } = limits;
    if (share === null) return count;
    let tasks = 0;
    for (const job of fleet.jobs.values()) {
      if (job.spec.team === team && (jobClass === null || job.spec.jobClass === jobClass))
        tasks += job.attemptsByTask.size;
    }
    for (const disruption of this.disruptions.values()) {
      if (disruption.phase === 'settled' || !covers(scope, disruption.team, disruption.jobClass))
        continue;
      if (!fleet.jobs.get(disruption.job)?.attemptsByTask.has(disruption.index)) tasks += 1;
    }
    const byShare = Math.floor(share * tasks);
    return count === null ? byShare : Math.min(count, byShare);
  }

  /** What keeps one more task of this kind from being disrupted; null: nothing. */
  blocker(team: TeamName, jobClass: string, fleet: FleetView, moment: Moment): Blocker | null {
    for (const scope of this.scopesOf(team, jobClass)) {
      const use = this.use(scope, fleet, moment);
      if (use.limit !== null && use.open >= use.limit)
        return { kind: 'budget', scope: scope.name, used: use.open, limit: use.limit };
      const { window } = scope.limits;
      if (window && use.recent !== null && use.recent >= window.count) {
        const { seconds, count } = window;
        return {
          kind: 'window-budget',
          scope: scope.name,
          used: use.recent,
          limit: count,
          withinS: seconds,
        };
      }
    }
    return null;
  }

  /** Asks to disrupt an attempt; returns its disruption, or what keeps it from being granted. */
  request(attempt: AttemptView, fleet: FleetView, moment: Moment): Disruption | Blocker | null {
    const known = this.disruptions.get(attempt.entry.attempt);
    if (known) return known;
    if (!attempt.job || (this.lapsed.get(attempt.entry.attempt) ?? 0) > moment.now) return null;
    const { team, jobClass } = attempt.job.spec;
    const kind = JSON.stringify([team, jobClass]);
    const blocker = this.blocked.get(kind) ?? this.blocker(team, jobClass, fleet, moment);
    if (!blocker) return this.open(attempt, true, moment);
    this.blocked.set(kind, blocker);
    return blocker;
  }

  /** Counts a disruption that nobody was asked about. */
  suffer(attempt: AttemptView, moment: Moment): void {
    const known = this.disruptions.get(attempt.entry.attempt);
    if (known) {
      if (known.phase !== 'settled') known.phase = 'stopped';
      return;
    }
    if (!attempt.job) return;
    const { team, jobClass } = attempt.job.spec;
    if (this.scopesOf(team, jobClass).length > 0) this.open(attempt, false, moment);
  }

  private open(attempt: AttemptView, voluntary: boolean, { timeOfDay }: Moment): Disruption {
    const { entry, job } = attempt;
    const disruption: Disruption = {
      attempt: entry.attempt,
      job: entry.job,
      index: entry.index,
      team: job!.spec.team,
      jobClass: job!.spec.jobClass,
      at: timeOfDay,
      voluntary,
      phase: voluntary ? 'asked' : 'stopped',
      record: null,
      grantedAt: null,
      inherited: false,
    };
    this.disruptions.set(entry.attempt, disruption);
    return disruption;
  }

  /** The attempt ended by itself before it was stopped: nothing was disrupted. */
  withdraw(attempt: Attempt): void {
    const known = this.disruptions.get(attempt);
    if (!known || known.phase === 'stopped') return;
    // The former leader may have sent its stop.
    if (known.inherited) known.phase = 'stopped';
    else this.disruptions.delete(attempt);
  }

  /** Its record is stored: from now on it may be stopped. */
  grant(disruption: Disruption, { now }: Moment): void {
    if (disruption.phase !== 'asked') return;
    disruption.phase = 'granted';
    disruption.grantedAt = now;
  }

  isGranted(attempt: Attempt): boolean {
    const phase = this.disruptions.get(attempt)?.phase;
    return phase === 'granted' || phase === 'stopped';
  }

  /** Voluntary disruptions whose work does not run again yet. */
  get voluntaryOpen(): number {
    let open = 0;
    for (const { voluntary, phase } of this.disruptions.values()) {
      if (voluntary && phase !== 'settled') open += 1;
    }
    return open;
  }

  /** Follows what has become of each disruption. */
  update(fleet: FleetView, moment: Moment): void {
    this.blocked.clear();
    for (const [attempt, until] of this.lapsed)
      if (until <= moment.now) this.lapsed.delete(attempt);
    for (const disruption of [...this.disruptions.values()]) this.follow(disruption, fleet, moment);
    this.forget(moment);
  }

  private follow(disruption: Disruption, fleet: FleetView, { now }: Moment): void {
    if (disruption.phase === 'settled') return;
    const job = fleet.jobs.get(disruption.job);
    if (job?.terminalState !== 'none' || fleet.isTaskDone(disruption.job, disruption.index)) {
      this.settle(disruption);
      return;
    }
    const held = job.attemptsByTask.get(disruption.index) ?? [];
    const stopping = held.find((other) => other.entry.attempt === disruption.attempt);
    if (disruption.phase === 'stopped') {
      const runs = held.some(
        (other) => other !== stopping && other.phase === 'running' && !other.stopRequest,
      );
      if (runs && !stopping) disruption.phase = 'settled';
      return;
    }
    if (stopping?.stopRequest || !stopping) {
      disruption.phase = 'stopped';
      return;
    }
    if (disruption.phase !== 'granted') return;
    disruption.grantedAt ??= now;
    const lifeMs = disruption.inherited ? INHERITED_GRANT_MS : GRANT_MS;
    if (now - disruption.grantedAt < lifeMs) return;
    this.disruptions.delete(disruption.attempt);
    this.lapsed.set(disruption.attempt, now + GRANT_MS);
  }

  /** A task that was never stopped counts for nothing, one that was counts for the window. */
  private settle(disruption: Disruption): void {
    if (disruption.phase === 'stopped') disruption.phase = 'settled';
    else this.disruptions.delete(disruption.attempt);
  }

  /** Settled ones are kept while a window may need them: the newest, as many as it allows. */
  private forget({ timeOfDay }: Moment): void {
    const settled = [...this.disruptions.values()].filter(({ phase }) => phase === 'settled');
    settled.sort((a, b) => b.at - a.at);
    const kept = new Map<string, number>();
    for (const disruption of settled) {
      let needed = false;
      for (const { name, limits } of this.scopesOf(disruption.team, disruption.jobClass)) {
        const { window } = limits;
        const count = kept.get(name) ?? 0;
        if (!window || disruption.at < timeOfDay - window.seconds * 1000 || count >= window.count)
          continue;
        kept.set(name, count + 1);
        needed = true;
      }
      if (!needed) this.disruptions.delete(disruption.attempt);
    }
  }

  /** Every scope that a budget is stated for or that is in use, for operators. */
  uses(fleet: FleetView, moment: Moment): ScopeUse[] {
    const scopes = new Map<string, Scope>();
    const add = (found: readonly Scope[]) => {
      for (const scope of found) scopes.set(scope.name, scope);
    };
    for (const team of fleet.teams.keys()) {
      add(this.scopesOf(team, ''));
      for (const jobClass of this.settings.teams.get(team)?.classes.keys() ?? [])
        add(this.scopesOf(team, jobClass));
    }
    return [...scopes.values()].map((scope) => this.use(scope, fleet, moment));
  }
}
