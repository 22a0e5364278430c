/** Scopes of disruption budgets: a team, or one job class of a team. */
import type { FleetView, TeamName } from '@robinspread/extension-api';
import type { BudgetLimits, DrainSettings } from './settings.js';

/** What a budget covers: a team, or one job class of a team. */
export interface BudgetScope {
  readonly name: string;
  readonly team: TeamName;
  /** null: every job class of the team. */
  readonly jobClass: string | null;
  readonly limits: BudgetLimits;
}

/** How much of a scope's budget is in use. */
export interface ScopeUsage {
  readonly scope: BudgetScope;
  /** Disrupted now. */
  readonly open: number;
  /** At once, as the limits stand now; null: no limit. */
  readonly limit: number | null;
  /** Disrupted within the window; null where none is stated. */
  readonly inWindow: number | null;
}

/** Whether a task of this team and job class counts against the scope. */
export const isCovered = (scope: BudgetScope, team: TeamName, jobClass: string): boolean =>
  scope.team === team && (scope.jobClass === null || scope.jobClass === jobClass);

/** The scopes that a task counts against; none: it has no limit. */
export const scopesOf = (
  settings: DrainSettings,
  team: TeamName,
  jobClass: string,
): BudgetScope[] => {
  const budget = settings.teams.get(team);
  if (!budget) {
    const limits = settings.defaultBudget;
    return limits ? [{ name: `team ${team}`, team, jobClass: null, limits }] : [];
  }
  const whole: BudgetScope = { name: `team ${team}`, team, jobClass: null, limits: budget.limits };
  const limits = budget.classes.get(jobClass);
  // The narrower one first: it says more about what holds work up.
  return limits
    ? [{ name: `team ${team} class ${jobClass}`, team, jobClass, limits }, whole]
    : [whole];
};

/** Every scope for which a budget is stated, each once, in the order of the teams. */
export const allScopes = (settings: DrainSettings, fleet: FleetView): BudgetScope[] => {
  const scopes = new Map<string, BudgetScope>();
  const add = (found: readonly BudgetScope[]) => {
    for (const scope of found) scopes.set(scope.name, scope);
  };
  for (const team of fleet.teams.keys()) {
    add(scopesOf(settings, team, ''));
    for (const jobClass of settings.teams.get(team)?.classes.keys() ?? [])
      add(scopesOf(settings, team, jobClass));
  }
  return [...scopes.values()];
};
