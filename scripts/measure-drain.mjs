/**
 * Measures drains of a fleet of simulated workers on loopback, one drain mode after the other.
 * Prints one line of JSON per mode.
 *
 * Usage: node scripts/measure-drain.mjs [MACHINES] [SEED] [MODE...]
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const MODES = ['budgets', 'no-budgets', 'all-at-once', 'taken-at-once'];
const [machines = '100', seed = '1', ...modes] = process.argv.slice(2);
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
for (const mode of modes.length > 0 ? modes : MODES) {
  const { status } = spawnSync(process.execPath, [program, mode, machines, seed], {
    stdio: 'inherit',
  });
  failed ||= status !== 0;
}
rmSync(directory, { recursive: true, force: true });
process.exitCode = failed ? 1 : 0;
