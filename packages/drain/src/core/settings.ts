/** Settings of the package, as read from its settings file. */

/** How many tasks of a scope may be disrupted; null fields set no limit. */
export interface BudgetLimits {
  /** Tasks disrupted at once. */
  readonly count: number | null;
  /** Tasks disrupted at once, as a share of those on machines or disrupted; rounded down. */
  readonly share: number | null;
  /** Tasks disrupted within any period of this length. */
  readonly window: { readonly seconds: number; readonly count: number } | null;
}

/** Limits on the disruption of one team's tasks. */
export interface TeamBudget {
  readonly limits: BudgetLimits;
  /** Limits of single job classes, in addition to the team's. */
  readonly classes: ReadonlyMap<string, BudgetLimits>;
}

/** All settings; fields are named after those of the file. */
export interface DrainSettings {
  /** Tasks expected to end within this time are left to finish, even if they write checkpoints. */
  readonly letEndS: number;
  /** A replacement that is not ready after this time is replaced by another one. */
  readonly readyTimeoutS: number;
  /** A blocked drain without progress for this time is reported as stalled. */
  readonly stalledAfterS: number;
  /** Applies to each team without its own budget; null if unlimited. */
  readonly defaultBudget: BudgetLimits | null;
  readonly teams: ReadonlyMap<string, TeamBudget>;
}

/** Defaults for settings that the file omits. */
export const DEFAULT_SETTINGS: DrainSettings = {
  letEndS: 60,
  readyTimeoutS: 300,
  stalledAfterS: 60,
  defaultBudget: null,
  teams: new Map(),
};
