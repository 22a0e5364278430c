/** Reads the package's file of S-expressions; a fault names the field in one line. */
import parseExpression from 's-expression';
import {
  type BudgetLimits,
  DEFAULT_SETTINGS,
  type DrainSettings,
  type TeamBudget,
} from '../core/settings.js';

class Fault extends Error {}

type Form = readonly unknown[];

const nameOf = (atom: unknown): string => String(atom);

const listOf = (form: unknown, where: string): Form => {
  if (!Array.isArray(form) || form.length === 0) throw new Fault(`${where}: expected (NAME ...)`);
  return form;
};

const numberIn = (form: Form, at: number, where: string, min: number, max: number): number => {
  const text = form[at];
  const value = text === undefined || Array.isArray(text) ? Number.NaN : Number(String(text));
  if (!Number.isFinite(value) || value < min || value > max)
    throw new Fault(`field ${where}: must be a number from ${min} to ${max}`);
  return value;
};

const wholeIn = (form: Form, at: number, where: string): number => {
  const value = numberIn(form, at, where, 0, 1e6);
  if (!Number.isInteger(value)) throw new Fault(`field ${where}: must be a whole number`);
  return value;
};

const expectLength = (form: Form, length: number, where: string): void => {
  if (form.length !== length) throw new Fault(`field ${where}: takes ${length - 1} value(s)`);
};

const LONGEST_S = 30 * 86_400;

/** The limits among these forms; `others` gets what is no limit. */
const readLimits = (
  forms: Form,
  where: string,
  others: (form: Form, name: string) => void,
): BudgetLimits => {
  let count: number | null = null;
  let share: number | null = null;
  let window: BudgetLimits['window'] = null;
  for (const item of forms) {
    const form = listOf(item, where);
    const name = nameOf(form[0]);
    const field = `${where} ${name}`;
    if (name === 'at-once') {
      expectLength(form, 2, field);
      count = wholeIn(form, 1, field);
    } else if (name === 'at-once-share') {
      expectLength(form, 2, field);
      share = numberIn(form, 1, field, 0, 1);
    } else if (name === 'within') {
      expectLength(form, 3, field);
      window = { seconds: numberIn(form, 1, field, 1, LONGEST_S), count: wholeIn(form, 2, field) };
    } else others(form, name);
  }
  return { count, share, window };
};

const unknown =
  (where: string) =>
  (_: Form, name: string): never => {
    throw new Fault(`unknown field ${where} ${name}`);
  };

const readTeam = (form: Form, team: string): TeamBudget => {
  const classes = new Map<string, BudgetLimits>();
  const where = `budgets ${team}`;
  const limits = readLimits(form.slice(2), where, (inner, name) => {
    if (name !== 'class') unknown(where)(inner, name);
    const jobClass = nameOf(inner[1]);
    if (inner.length < 3 || Array.isArray(inner[1]))
      throw new Fault(`field ${where} class: expected (class NAME ...)`);
    if (classes.has(jobClass)) throw new Fault(`field ${where} class ${jobClass}: stated twice`);
    const at = `${where} ${jobClass}`;
    classes.set(jobClass, readLimits(inner.slice(2), at, unknown(at)));
  });
  return { limits, classes };
};

const readBudgets = (
  form: Form,
  known: ReadonlySet<string>,
): Pick<DrainSettings, 'defaultBudget' | 'teams'> => {
  let defaultBudget: BudgetLimits | null = null;
  const teams = new Map<string, TeamBudget>();
  for (const item of form.slice(1)) {
    const budget = listOf(item, 'budgets');
    const kind = nameOf(budget[0]);
    if (kind === 'default') {
      defaultBudget = readLimits(budget.slice(1), 'budgets default', unknown('budgets default'));
    } else if (kind === 'team') {
      const team = nameOf(budget[1]);
      if (!known.has(team)) throw new Fault(`field budgets: unknown team ${team}`);
      if (teams.has(team)) throw new Fault(`field budgets ${team}: stated twice`);
      teams.set(team, readTeam(budget, team));
    } else throw new Fault(`unknown field budgets ${kind}`);
  }
  return { defaultBudget, teams };
};

/** Single numbers of the file, and the bounds of each. */
const NUMBERS: Record<
  string,
  { key: 'letEndS' | 'readyTimeoutS' | 'stalledAfterS'; min: number; max: number }
> = {
  'let-end-s': { key: 'letEndS', min: 0, max: 86_400 },
  'ready-timeout-s': { key: 'readyTimeoutS', min: 1, max: 86_400 },
  'stalled-after-s': { key: 'stalledAfterS', min: 1, max: 86_400 },
};

const read = (text: string, knownTeams: ReadonlySet<string>): DrainSettings => {
  const form: unknown = parseExpression(text.replace(/;[^\n]*/g, '').trim());
  if (form instanceof Error) throw new Fault(form.message.split('\n')[0] ?? 'malformed');
  if (!Array.isArray(form) || nameOf(form[0]) !== 'drain') throw new Fault('expected (drain ...)');
  let settings: DrainSettings = DEFAULT_SETTINGS;
  for (const item of form.slice(1) as unknown[]) {
    const entry = listOf(item, 'drain');
    const name = nameOf(entry[0]);
    const number = Object.hasOwn(NUMBERS, name) ? NUMBERS[name] : undefined;
    if (number) {
      expectLength(entry, 2, name);
      settings = { ...settings, [number.key]: numberIn(entry, 1, name, number.min, number.max) };
    } else if (name === 'budgets') settings = { ...settings, ...readBudgets(entry, knownTeams) };
    else throw new Fault(`unknown field ${name}`);
  }
  return settings;
};

/** The settings, or what is wrong with the file. */
export const readSettings = (
  text: string,
  knownTeams: ReadonlySet<string>,
): DrainSettings | { readonly fault: string } => {
  try {
    return read(text, knownTeams);
  } catch (error) {
    if (error instanceof Fault) return { fault: `drain: ${error.message}` };
    throw error;
  }
};
