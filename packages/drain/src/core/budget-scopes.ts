/** Scopes of disruption budgets: a team, or one job class of a team. */
import type { FleetView, TeamName } from '@robinspread/extension-api';
import type { BudgetLimits, DrainSettings } from './settings.js';

/** The tasks that a budget covers, with its limits. */
export interface BudgetScope {
  readonly name: string;
  readonly team: TeamName;
  /** null if the scope covers every job class of the team. */
  readonly jobClass: string | null;
  readonly limits: BudgetLimits;
}

/** Current usage of a scope's budget. */
export interface ScopeUsage {
  readonly scope: BudgetScope;
  /** Tasks that are disrupted now. */
  readonly open: number;
  /** The current limit on `open`; null if there is none. */
  readonly limit: number | null;
  /** Tasks disrupted within the window or now; null if there is no window. */
  readonly inWindow: number | null;
}

/** Whether the scope covers a task of this team and job class. */
export const isCovered = (scope: BudgetScope, team: TeamName, jobClass: string): boolean =>
  scope.team === team && (scope.jobClass === null || scope.jobClass === jobClass);

/** The scopes that cover a task; empty if it has no budget. */
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
  const teamScope: BudgetScope = {
    name: `team ${team}`,
    team,
    jobClass: null,
    limits: budget.limits,
  };
  const limits = budget.classes.get(jobClass);
  // The narrower scope comes first, since it makes the more specific blocker.
  return limits
    ? [{ name: `team ${team} class ${jobClass}`, team, jobClass, limits }, teamScope]
    : [teamScope];
};

/** Every scope that has a budget, in the order of the teams. */
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
