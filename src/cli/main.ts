import { Command } from 'commander';
import type { Files } from './load.js';

const build = (): Command => {
  const program = new Command('robinspread')
    .description('cluster scheduler service')
    .version('0.1.0');

  program
    .command('serve')
    .description('run one controller')
    .requiredOption('--config <file>', "the platform's settings (JSON)")
    .option('--policy <file>', "the operators' policy (S-expressions)")
    .option('--enable <file...>', 'enable the optional packages of these files (S-expressions)')
    .action(async (options: Files) => {
      const { serve } = await import('./serve.js');
      await serve(options);
    });

  program
    .command('check-config')
    .description('check a settings file and a policy file')
    .requiredOption('--config <file>', "the platform's settings (JSON)")
    .option('--policy <file>', "the operators' policy (S-expressions)")
    .option('--enable <file...>', 'enable the optional packages of these files (S-expressions)')
    .action(async (options: Files) => {
      const { checkConfig } = await import('./check-config.js');
      await checkConfig(options);
    });

  program
    .command('explain')
    .description('why a job waits')
    .argument('<job>', 'job id')
    .requiredOption('--at <host:port>', 'a controller')
    .action(async (job: string, options: { at: string }) => {
      const { explain } = await import('./ask.js');
      await explain(job, options.at);
    });

  program
    .command('jobs')
    .description("list a team's unfinished jobs")
    .requiredOption('--at <host:port>', 'a controller')
    .requiredOption('--team <name>', 'the team')
    .action(async (options: { at: string; team: string }) => {
      const { jobs } = await import('./ask.js');
      await jobs(options.team, options.at);
    });
  return program;
};

export const run = async (argv: readonly string[]): Promise<void> => {
  const program = build();
  const { loadPackage } = await import('./extensions.js');
  const optional = await loadPackage(argv[2]);
  if (optional) {
    const { commandTools } = await import('./command-tools.js');
    optional.addCommands(program, commandTools);
  }
  await program.parseAsync(argv);
};

/** For the build: loads what `serve` needs, so that its compiled code can be kept. */
export const warm = async (): Promise<void> => {
  build().helpInformation();
  await import('./serve.js');
};
