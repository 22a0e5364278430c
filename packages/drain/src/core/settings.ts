/** Settings of the package, as its file states them. */

/** How much of a scope's work may be disrupted; null: not limited in this way. */
export interface BudgetLimits {
  /** At once. */
  readonly count: number | null;
  /** At once, of the scope's tasks that are on machines or disrupted; rounded down. */
  readonly share: number | null;
  /** Within any stretch of time of this length. */
  readonly window: { readonly seconds: number; readonly count: number } | null;
}

/** A team's budget. */
export interface TeamBudget {
  readonly limits: BudgetLimits;
  /** Of single job classes; the team's limits hold for them as well. */
  readonly classes: ReadonlyMap<string, BudgetLimits>;
}

/** All settings of the package; the fields are named after those of the file. */
export interface DrainSettings {
  /** Work that ends within this time by its estimate is let end, also when it could be stopped. */
  readonly letEndS: number;
  /** A replacement that is not ready after this long is given up for another one. */
  readonly readyTimeoutS: number;
  /** A drain that has not progressed for this long is reported as stalled. */
  readonly stalledAfterS: number;
  /** For teams without a budget of their own; null: no limit. */
  readonly defaultBudget: BudgetLimits | null;
  readonly teams: ReadonlyMap<string, TeamBudget>;
}

/** What holds where the file states nothing. */
export const DEFAULT_SETTINGS: DrainSettings = {
  letEndS: 60,
  readyTimeoutS: 300,
  stalledAfterS: 60,
  defaultBudget: null,
  teams: new Map(),
};
