/** Parses the package's settings file (S-expressions). */
import parseExpression from 's-expression';
import {
  type BudgetLimits,
  DEFAULT_SETTINGS,
  type DrainSettings,
  type TeamBudget,
} from '../core/settings.js';

/** The settings file is invalid. The message, one line for operators, names the field. */
class SettingsError extends Error {}

/** A list in the settings file: a name, followed by values or nested lists. */
type Form = readonly unknown[];

const nameOf = (atom: unknown): string => String(atom);

const expectList = (form: unknown, where: string): Form => {
  if (!Array.isArray(form) || form.length === 0)
    throw new SettingsError(`${where}: expected (NAME ...)`);
  return form;
};

interface Bounds {
  readonly min: number;
  readonly max: number;
}

const numberAt = (form: Form, index: number, field: string, { min, max }: Bounds): number => {
  const text = form[index];
  const value = text === undefined || Array.isArray(text) ? Number.NaN : Number(String(text));
  if (!Number.isFinite(value) || value < min || value > max)
    throw new SettingsError(`field ${field}: must be a number from ${min} to ${max}`);
  return value;
};

const COUNT_BOUNDS: Bounds = { min: 0, max: 1e6 };
const SHARE_BOUNDS: Bounds = { min: 0, max: 1 };
/** Window length in seconds. */
const WINDOW_BOUNDS: Bounds = { min: 1, max: 30 * 86_400 };

const countAt = (form: Form, index: number, field: string): number => {
  const value = numberAt(form, index, field, COUNT_BOUNDS);
  if (!Number.isInteger(value)) throw new SettingsError(`field ${field}: must be a whole number`);
  return value;
};

const expectLength = (form: Form, length: number, where: string): void => {
  if (form.length !== length)
    throw new SettingsError(`field ${where}: takes ${length - 1} value(s)`);
};

/** Parses the limits among the forms; passes the others to `handleNonLimit`. */
const parseLimits = (
  forms: Form,
  where: string,
  handleNonLimit: (form: Form, name: string) => void,
): BudgetLimits => {
  let count: number | null = null;
  let share: number | null = null;
  let window: BudgetLimits['window'] = null;
  for (const item of forms) {
    const form = expectList(item, where);
    const name = nameOf(form[0]);
    const field = `${where} ${name}`;
    switch (name) {
      case 'at-once':
        expectLength(form, 2, field);
        count = countAt(form, 1, field);
        break;
      case 'at-once-share':
        expectLength(form, 2, field);
        share = numberAt(form, 1, field, SHARE_BOUNDS);
        break;
      case 'within':
        expectLength(form, 3, field);
        window = {
          seconds: numberAt(form, 1, field, WINDOW_BOUNDS),
          count: countAt(form, 2, field),
        };
        break;
      default:
        handleNonLimit(form, name);
    }
  }
  return { count, share, window };
};

const rejectUnknownField =
  (where: string) =>
  (_: Form, name: string): never => {
    throw new SettingsError(`unknown field ${where} ${name}`);
  };

const parseTeam = (form: Form, team: string): TeamBudget => {
  const classes = new Map<string, BudgetLimits>();
  const where = `budgets ${team}`;
  const limits = parseLimits(form.slice(2), where, (inner, name) => {
    if (name !== 'class') rejectUnknownField(where)(inner, name);
    const jobClass = nameOf(inner[1]);
    if (inner.length < 3 || Array.isArray(inner[1]))
      throw new SettingsError(`field ${where} class: expected (class NAME ...)`);
    if (classes.has(jobClass))
      throw new SettingsError(`field ${where} class ${jobClass}: stated twice`);
    const classField = `${where} ${jobClass}`;
    classes.set(jobClass, parseLimits(inner.slice(2), classField, rejectUnknownField(classField)));
  });
  return { limits, classes };
};

const parseBudgets = (
  form: Form,
  knownTeams: ReadonlySet<string>,
): Pick<DrainSettings, 'defaultBudget' | 'teams'> => {
  let defaultBudget: BudgetLimits | null = null;
  const teams = new Map<string, TeamBudget>();
  for (const item of form.slice(1)) {
    const budget = expectList(item, 'budgets');
    const kind = nameOf(budget[0]);
    if (kind === 'default') {
      defaultBudget = parseLimits(
        budget.slice(1),
        'budgets default',
        rejectUnknownField('budgets default'),
      );
    } else if (kind === 'team') {
      const team = nameOf(budget[1]);
      if (!knownTeams.has(team)) throw new SettingsError(`field budgets: unknown team ${team}`);
      if (teams.has(team)) throw new SettingsError(`field budgets ${team}: stated twice`);
      teams.set(team, parseTeam(budget, team));
    } else throw new SettingsError(`unknown field budgets ${kind}`);
  }
  return { defaultBudget, teams };
};

/** Settings that are a single number, with their field and bounds. */
const NUMERIC_SETTINGS: Readonly<
  Record<string, Bounds & { readonly key: 'letEndS' | 'readyTimeoutS' | 'stalledAfterS' }>
> = {
  'let-end-s': { key: 'letEndS', min: 0, max: 86_400 },
  'ready-timeout-s': { key: 'readyTimeoutS', min: 1, max: 86_400 },
  'stalled-after-s': { key: 'stalledAfterS', min: 1, max: 86_400 },
};

const parse = (text: string, knownTeams: ReadonlySet<string>): DrainSettings => {
  const form: unknown = parseExpression(text.replace(/;[^\n]*/g, '').trim());
  if (form instanceof Error)
    throw new SettingsError(form.message.split('\n')[0] ?? 'malformed', { cause: form });
  if (!Array.isArray(form) || nameOf(form[0]) !== 'drain')
    throw new SettingsError('expected (drain ...)');
  let settings: DrainSettings = DEFAULT_SETTINGS;
  for (const item of form.slice(1) as unknown[]) {
    const entry = expectList(item, 'drain');
    const name = nameOf(entry[0]);
    const number = Object.hasOwn(NUMERIC_SETTINGS, name) ? NUMERIC_SETTINGS[name] : undefined;
    if (number) {
      expectLength(entry, 2, name);
      settings = { ...settings, [number.key]: numberAt(entry, 1, name, number) };
    } else if (name === 'budgets') settings = { ...settings, ...parseBudgets(entry, knownTeams) };
    else throw new SettingsError(`unknown field ${name}`);
  }
  return settings;
};

/** Parses the settings, or returns an error text for `ExtensionPackage.configure`. */
export const parseDrainSettings = (
  text: string,
  knownTeams: ReadonlySet<string>,
): DrainSettings | { readonly error: string } => {
  try {
    return parse(text, knownTeams);
  } catch (error) {
    if (error instanceof SettingsError) return { error: `drain: ${error.message}` };
    throw error;
  }
};
