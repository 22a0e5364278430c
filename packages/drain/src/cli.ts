/** Operators' commands: `robinspread drain ...`. */
import type { CommandTools } from '@robinspread/extension-api';
import type { Command } from 'commander';

/** Exit codes beside 0. */
const REFUSED = 1;
const BAD_INPUT = 2;
const NO_ANSWER = 3;
const TRY_LATER = 4;

interface Target {
  readonly at: string;
  readonly json?: boolean;
}

interface RequestOptions extends Target {
  readonly all?: boolean;
  readonly machine?: string[];
  readonly type?: string;
  readonly zone?: string;
  readonly spot?: boolean;
  readonly ordinary?: boolean;
  readonly minAge?: string;
  readonly image?: string;
  readonly atOnce?: string;
  readonly replace: boolean;
  readonly deadline?: string;
}

interface DrainLine {
  readonly name: string;
  readonly status: string;
  readonly total: number;
  readonly returned: number;
  readonly failed: number;
  readonly step: number;
  readonly inStep: number;
}

interface BlockedBy {
  readonly text: string;
}

interface DrainAnswer extends DrainLine {
  readonly why: string | null;
  readonly blocked: BlockedBy | null;
  readonly waiting: number;
  readonly machines?: readonly {
    readonly name: string;
    readonly state: string;
    readonly replacement: string | null;
    readonly left: number;
    readonly blocked: BlockedBy | null;
  }[];
}

interface PlanAnswer {
  readonly refused: string | null;
  readonly machines: number;
  readonly stepSize: number;
  readonly steps: number;
  readonly listed: number;
  readonly plan: readonly {
    readonly name: string;
    readonly step: number;
    readonly stops: number;
    readonly moves: number;
    readonly ends: number;
    readonly blocked: readonly string[];
  }[];
}

interface BudgetLine {
  readonly scope: string;
  readonly disrupted: number;
  readonly atOnce: number | null;
  readonly withinS?: number;
  readonly recent?: number;
  readonly most?: number;
}

const lineOf = (d: DrainLine): string =>
  `${d.name}: ${d.status}, ${d.returned} of ${d.total} returned, ${d.failed} lost before, step ${d.step} with ${d.inStep}`;

const detailLines = (d: DrainAnswer): string[] => {
  const lines = [`${lineOf(d)}, ${d.waiting} waiting`];
  if (d.why) lines.push(`  paused: ${d.why}`);
  if (d.blocked) lines.push(`  held up: ${d.blocked.text}`);
  for (const m of d.machines ?? []) {
    const by = m.replacement === null ? '' : `, replaced by ${m.replacement}`;
    const held = m.blocked === null ? '' : `; ${m.blocked.text}`;
    lines.push(`  ${m.name}: ${m.state}, ${m.left} tasks on it${by}${held}`);
  }
  return lines;
};

const planLines = (p: PlanAnswer): string[] => {
  const lines = [`${p.machines} machines in ${p.steps} steps of ${p.stepSize}`];
  if (p.refused !== null) lines.push(`would be refused: ${p.refused}`);
  for (const m of p.plan) {
    const held = m.blocked.length === 0 ? '' : `; ${m.blocked.join('; ')}`;
    lines.push(
      `  step ${m.step} ${m.name}: ${m.stops} stop, ${m.moves} move, ${m.ends} end by themselves${held}`,
    );
  }
  if (p.machines > p.listed) lines.push(`  and ${p.machines - p.listed} more`);
  return lines;
};

const budgetLine = (b: BudgetLine): string => {
  const atOnce = b.atOnce === null ? 'no limit' : `${b.atOnce}`;
  const window = b.withinS === undefined ? '' : `; ${b.recent} of ${b.most} within ${b.withinS} s`;
  return `${b.scope}: ${b.disrupted} disrupted of ${atOnce}${window}`;
};

const numberOr = (text: string | undefined): number | undefined =>
  text === undefined ? undefined : Number(text);

/** `4` machines, or `10%` of them. */
const stepOf = (text: string | undefined): object => {
  if (text === undefined) return {};
  if (text.endsWith('%')) return { atOnceShare: Number(text.slice(0, -1)) / 100 };
  return { atOnce: Number(text) };
};

const bodyOf = (name: string | null, o: RequestOptions): object => {
  const spot = o.spot ? true : o.ordinary ? false : undefined;
  const select = {
    all: o.all,
    machines: o.machine,
    type: o.type,
    zone: o.zone,
    spot,
    minAgeS: numberOr(o.minAge),
    image: o.image,
  };
  return {
    ...(name === null ? {} : { name }),
    select,
    ...stepOf(o.atOnce),
    replace: o.replace,
    ...(o.deadline === undefined ? {} : { deadlineS: numberOr(o.deadline) }),
  };
};

const exitCodeOf = (status: number): number => {
  if (status >= 200 && status < 300) return 0;
  if (status === 400 || status === 422) return BAD_INPUT;
  return status === 503 ? TRY_LATER : REFUSED;
};

const ask = async (
  tools: CommandTools,
  target: Target,
  method: 'GET' | 'POST',
  path: string,
  body: object | undefined,
  linesOf: (answer: unknown) => readonly string[],
): Promise<void> => {
  const answer = await tools.ask(target.at, method, path, body);
  if (!answer) {
    tools.complain(`no answer from ${target.at}`);
    tools.setExitCode(NO_ANSWER);
    return;
  }
  const code = exitCodeOf(answer.status);
  tools.setExitCode(code);
  if (target.json) tools.print(JSON.stringify(answer.body, null, 2));
  else if (code === 0) for (const line of linesOf(answer.body)) tools.print(line);
  if (code !== 0) {
    const { error } = (answer.body ?? {}) as { error?: string };
    tools.complain(`${answer.status} ${error ?? 'refused'}`);
  }
};

const withTarget = (command: Command): Command =>
  command
    .requiredOption('--at <host:port>', 'a controller')
    .option('--json', 'print the answer as JSON');

const collect = (value: string, before: string[] | undefined): string[] => [
  ...(before ?? []),
  value,
];

const withRequest = (command: Command): Command =>
  withTarget(command)
    .option('--all', 'every machine')
    .option('--machine <name>', 'this machine; may be repeated', collect)
    .option('--type <name>', 'machines of this type')
    .option('--zone <name>', 'machines in this zone')
    .option('--spot', 'spot machines only')
    .option('--ordinary', 'ordinary machines only')
    .option('--min-age <seconds>', 'machines at least this old')
    .option('--image <name>', 'machines that have run this image')
    .option('--at-once <n or n%>', 'machines of one step (default 1)')
    .option('--no-replace', 'rent no replacements')
    .option('--deadline <seconds>', 'pause after this long');

const drainPath = (name: string, change = ''): string =>
  `/api/drains/${encodeURIComponent(name)}${change}`;

/** Adds the commands to the command line. */
export const addCommands = (program: Command, tools: CommandTools): void => {
  const drain = program.command('drain').description('drain machines in steps');
  const details = (answer: unknown) => detailLines(answer as DrainAnswer);
  withRequest(drain.command('start').description('begin a drain').argument('<name>')).action(
    (name: string, o: RequestOptions) =>
      ask(tools, o, 'POST', '/api/drains', bodyOf(name, o), details),
  );
  withRequest(drain.command('plan').description('what a drain would do')).action(
    (o: RequestOptions) =>
      ask(tools, o, 'POST', '/api/drains/plan', bodyOf(null, o), (answer) =>
        planLines(answer as PlanAnswer),
      ),
  );
  withTarget(drain.command('list').description('all drains')).action((o: Target) =>
    ask(tools, o, 'GET', '/api/drains', undefined, (answer) =>
      (answer as { drains: DrainLine[] }).drains.map(lineOf),
    ),
  );
  withTarget(drain.command('status').description('one drain').argument('<name>')).action(
    (name: string, o: Target) => ask(tools, o, 'GET', drainPath(name), undefined, details),
  );
  for (const change of ['pause', 'resume', 'cancel']) {
    withTarget(drain.command(change).description(`${change} a drain`).argument('<name>')).action(
      (name: string, o: Target) =>
        ask(tools, o, 'POST', drainPath(name, `/${change}`), {}, details),
    );
  }
  withTarget(drain.command('budgets').description('disruption budgets and their use')).action(
    (o: Target) =>
      ask(tools, o, 'GET', '/api/budgets', undefined, (answer) =>
        (answer as { budgets: BudgetLine[] }).budgets.map(budgetLine),
      ),
  );
};
