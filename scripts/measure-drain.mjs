/**
 * Measures drains of a fleet of stand-in workers on loopback, one strategy after the other. Prints
 * one line of JSON per strategy.
 *
 * Usage: node scripts/measure-drain.mjs [MACHINES] [SEED] [STRATEGY...]
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const STRATEGIES = ['budgets', 'no-budgets', 'all-at-once', 'taken-at-once'];
const [machines = '100', seed = '1', ...strategies] = process.argv.slice(2);
const directory = mkdtempSync(join(process.cwd(), 'target-measure-'));
const program = join(directory, 'drain-load.mjs');
await build({
  entryPoints: ['packages/drain/measure/drain-load.ts'],
  outfile: program,
  bundle: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  packages: 'external',
  logLevel: 'warning',
});
let failed = false;
for (const strategy of strategies.length > 0 ? strategies : STRATEGIES) {
  const { status } = spawnSync(process.execPath, [program, strategy, machines, seed], {
    stdio: 'inherit',
  });
  failed ||= status !== 0;
}
rmSync(directory, { recursive: true, force: true });
process.exitCode = failed ? 1 : 0;
