/** The `robinspread drain ...` commands, which call a controller and print its answer. */
import type { CommandTools } from '@robinspread/extension-api';
import type { Command } from 'commander';

/** Exit codes, as documented on the operators' page. */
const EXIT_CODES = { done: 0, refused: 1, badInput: 2, noAnswer: 3, tryLater: 4 } as const;

/** The controller to call, and whether its answer is printed as JSON. */
interface TargetOptions {
  readonly at: string;
  readonly json?: boolean;
}

/** Options of `start` and `plan`, named as on the command line. */
interface RequestOptions extends TargetOptions {
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

/** A drain in a list. Answers use the field names of the HTTP interface. */
interface DrainSummary {
  readonly name: string;
  readonly status: string;
  readonly total: number;
  readonly returned: number;
  readonly failed: number;
  readonly step: number;
  readonly inStep: number;
}

interface BlockerView {
  readonly text: string;
}

interface DrainDetails extends DrainSummary {
  readonly why: string | null;
  readonly blocked: BlockerView | null;
  readonly waiting: number;
  readonly machines?: readonly {
    readonly name: string;
    readonly state: string;
    readonly replacement: string | null;
    readonly left: number;
    readonly blocked: BlockerView | null;
  }[];
}

interface PlanView {
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

interface BudgetView {
  readonly scope: string;
  readonly disrupted: number;
  readonly atOnce: number | null;
  readonly withinS?: number;
  readonly recent?: number;
  readonly most?: number;
}

const summaryLine = (drain: DrainSummary): string =>
  `${drain.name}: ${drain.status}, ${drain.returned} of ${drain.total} returned, ` +
  `${drain.failed} lost before, step ${drain.step} with ${drain.inStep}`;

const detailLines = (drain: DrainDetails): string[] => {
  const lines = [`${summaryLine(drain)}, ${drain.waiting} waiting`];
  if (drain.why) lines.push(`  paused: ${drain.why}`);
  if (drain.blocked) lines.push(`  held up: ${drain.blocked.text}`);
  for (const { name, state, left, replacement, blocked } of drain.machines ?? []) {
    const replacedBy = replacement === null ? '' : `, replaced by ${replacement}`;
    const blocker = blocked === null ? '' : `; ${blocked.text}`;
    lines.push(`  ${name}: ${state}, ${left} tasks on it${replacedBy}${blocker}`);
  }
  return lines;
};

const planLines = (plan: PlanView): string[] => {
  const lines = [`${plan.machines} machines in ${plan.steps} steps of ${plan.stepSize}`];
  if (plan.refused !== null) lines.push(`would be refused: ${plan.refused}`);
  for (const { name, step, stops, moves, ends, blocked } of plan.plan) {
    const blockers = blocked.length === 0 ? '' : `; ${blocked.join('; ')}`;
    const work = `${stops} stop, ${moves} move, ${ends} end by themselves`;
    lines.push(`  step ${step} ${name}: ${work}${blockers}`);
  }
  if (plan.machines > plan.listed) lines.push(`  and ${plan.machines - plan.listed} more`);
  return lines;
};

const budgetLine = ({ scope, disrupted, atOnce, withinS, recent, most }: BudgetView): string => {
  const limit = atOnce === null ? 'no limit' : `${atOnce}`;
  const window = withinS === undefined ? '' : `; ${recent} of ${most} within ${withinS} s`;
  return `${scope}: ${disrupted} disrupted of ${limit}${window}`;
};

const optionalNumber = (text: string | undefined): number | undefined =>
  text === undefined ? undefined : Number(text);

/** Converts a step size, `4` (machines) or `10%`, to request fields. */
const stepSizeFields = (text: string | undefined): object => {
  if (text === undefined) return {};
  if (text.endsWith('%')) return { atOnceShare: Number(text.slice(0, -1)) / 100 };
  return { atOnce: Number(text) };
};

/** The `spot` criterion; undefined selects both. `--spot` overrides `--ordinary`. */
const spotOf = ({ spot, ordinary }: RequestOptions): boolean | undefined => {
  if (spot) return true;
  return ordinary ? false : undefined;
};

/** Builds the request body; `name` is null for a plan. */
const requestBody = (name: string | null, options: RequestOptions): object => {
  const select = {
    all: options.all,
    machines: options.machine,
    type: options.type,
    zone: options.zone,
    spot: spotOf(options),
    minAgeS: optionalNumber(options.minAge),
    image: options.image,
  };
  return {
    ...(name === null ? {} : { name }),
    select,
    ...stepSizeFields(options.atOnce),
    replace: options.replace,
    ...(options.deadline === undefined ? {} : { deadlineS: optionalNumber(options.deadline) }),
  };
};

const exitCodeOf = (status: number): number => {
  if (status >= 200 && status < 300) return EXIT_CODES.done;
  if (status === 400 || status === 422) return EXIT_CODES.badInput;
  return status === 503 ? EXIT_CODES.tryLater : EXIT_CODES.refused;
};

/** A call to a controller, and how to format its answer as text. */
interface ControllerCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: object;
  readonly linesOf: (answer: unknown) => readonly string[];
}

/** Makes the call, prints the answer and sets the exit code. */
const callController = async (
  tools: CommandTools,
  target: TargetOptions,
  call: ControllerCall,
): Promise<void> => {
  const answer = await tools.sendRequest(target.at, call.method, call.path, call.body);
  if (!answer) {
    tools.printError(`no answer from ${target.at}`);
    tools.setExitCode(EXIT_CODES.noAnswer);
    return;
  }
  const exitCode = exitCodeOf(answer.status);
  const isDone = exitCode === EXIT_CODES.done;
  tools.setExitCode(exitCode);
  if (target.json) tools.print(JSON.stringify(answer.body, null, 2));
  else if (isDone) for (const line of call.linesOf(answer.body)) tools.print(line);
  if (!isDone) {
    const { error } = (answer.body ?? {}) as { error?: string };
    tools.printError(`${answer.status} ${error ?? 'refused'}`);
  }
};

const withTargetOptions = (command: Command): Command =>
  command
    .requiredOption('--at <host:port>', 'a controller')
    .option('--json', 'print the answer as JSON');

const appendValue = (value: string, previous: string[] | undefined): string[] => [
  ...(previous ?? []),
  value,
];

const withRequestOptions = (command: Command): Command =>
  withTargetOptions(command)
    .option('--all', 'every machine')
    .option('--machine <name>', 'this machine; may be repeated', appendValue)
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

const detailsLinesOf = (answer: unknown) => detailLines(answer as DrainDetails);

const addRequestCommands = (drain: Command, tools: CommandTools): void => {
  const start = drain.command('start').description('begin a drain').argument('<name>');
  withRequestOptions(start).action((name: string, options: RequestOptions) => {
    const body = requestBody(name, options);
    const path = '/api/drains';
    return callController(tools, options, { method: 'POST', path, body, linesOf: detailsLinesOf });
  });
  const plan = drain.command('plan').description('what a drain would do');
  withRequestOptions(plan).action((options: RequestOptions) =>
    callController(tools, options, {
      method: 'POST',
      path: '/api/drains/plan',
      body: requestBody(null, options),
      linesOf: (answer) => planLines(answer as PlanView),
    }),
  );
};

const addStatusCommands = (drain: Command, tools: CommandTools): void => {
  const list = drain.command('list').description('all drains');
  withTargetOptions(list).action((target: TargetOptions) =>
    callController(tools, target, {
      method: 'GET',
      path: '/api/drains',
      linesOf: (answer) => (answer as { drains: DrainSummary[] }).drains.map(summaryLine),
    }),
  );
  const status = drain.command('status').description('one drain').argument('<name>');
  withTargetOptions(status).action((name: string, target: TargetOptions) => {
    const path = drainPath(name);
    return callController(tools, target, { method: 'GET', path, linesOf: detailsLinesOf });
  });
};

const addChangeCommands = (drain: Command, tools: CommandTools): void => {
  for (const change of ['pause', 'resume', 'cancel']) {
    const command = drain.command(change).description(`${change} a drain`).argument('<name>');
    withTargetOptions(command).action((name: string, target: TargetOptions) => {
      const path = drainPath(name, `/${change}`);
      return callController(tools, target, {
        method: 'POST',
        path,
        body: {},
        linesOf: detailsLinesOf,
      });
    });
  }
};

const addBudgetsCommand = (drain: Command, tools: CommandTools): void => {
  const budgets = drain.command('budgets').description('disruption budgets and their use');
  withTargetOptions(budgets).action((target: TargetOptions) =>
    callController(tools, target, {
      method: 'GET',
      path: '/api/budgets',
      linesOf: (answer) => (answer as { budgets: BudgetView[] }).budgets.map(budgetLine),
    }),
  );
};

/** Adds `drain` and its subcommands to the command line. */
export const addCommands = (program: Command, tools: CommandTools): void => {
  const drain = program.command('drain').description('drain machines in steps');
  addRequestCommands(drain, tools);
  addStatusCommands(drain, tools);
  addChangeCommands(drain, tools);
  addBudgetsCommand(drain, tools);
};
