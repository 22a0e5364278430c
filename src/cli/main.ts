/**
 * The command line. A command's module is loaded only when the command is called: on a few
 * hundredths of a core, every module delays the start-up.
 */

import { Command } from 'commander';
import { handleCommandError } from './command-failures.js';
import type { ConfigurationPaths } from './load.js';

const addFileOptions = (command: Command): Command =>
  command
    .requiredOption('--config <file>', "the platform's settings (JSON)")
    .option('--policy <file>', "the operators' policy (S-expressions)")
    .option('--enable <file...>', 'enable the optional packages of these files (S-expressions)');

const createProgram = (): Command => {
  const program = new Command('robinspread')
    .description('cluster scheduler service')
    .version('0.1.0');

  addFileOptions(program.command('serve').description('run one controller')).action(
    async (options: ConfigurationPaths) => {
      const { serve } = await import('./serve.js');
      await serve(options);
    },
  );

  addFileOptions(
    program.command('check-config').description('check a settings file and a policy file'),
  ).action(async (options: ConfigurationPaths) => {
    const { checkConfig } = await import('./check-config.js');
    await checkConfig(options);
  });

  program
    .command('explain')
    .description('why a job waits')
    .argument('<job>', 'job id')
    .requiredOption('--at <host:port>', 'a controller')
    .action(async (job: string, options: { at: string }) => {
      const { explainJob } = await import('./ask.js');
      await explainJob(job, options.at);
    });

  program
    .command('jobs')
    .description("list a team's unfinished jobs")
    .requiredOption('--at <host:port>', 'a controller')
    .requiredOption('--team <name>', 'the team')
    .action(async (options: { at: string; team: string }) => {
      const { listJobs } = await import('./ask.js');
      await listJobs(options.team, options.at);
    });
  return program;
};

/** Runs the command in `argv`, which has the layout of `process.argv`. Sets the exit code. */
export const run = async (argv: readonly string[]): Promise<void> => {
  const program = createProgram();
  const { loadPackage } = await import('./extensions.js');
  const extensionPackage = await loadPackage(argv[2]);
  if (extensionPackage) {
    const { commandTools } = await import('./command-tools.js');
    extensionPackage.addCommands(program, commandTools);
  }
  await program.parseAsync(argv).catch(handleCommandError);
};

/**
 * Called by the build to fill V8's code cache: loads the modules of `serve` and runs the start-up
 * code with the given settings.
 */
export const warm = async (settingsText: string): Promise<void> => {
  createProgram().helpInformation();
  await import('./serve.js');
  const { rehearseStart } = await import('./start-rehearsal.js');
  rehearseStart(settingsText);
};
