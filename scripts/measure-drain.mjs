/**
 * Measures drains of a fleet of stand-in workers on loopback, one way after the other; prints one
 * line of JSON for each.
 *
 * Usage: node scripts/measure-drain.mjs [MACHINES] [SEED] [WAY...]
 */
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const WAYS = ['budgets', 'no-budgets', 'all-at-once', 'taken-at-once'];
const [machines = '100', seed = '1', ...ways] = process.argv.slice(2);
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
for (const way of ways.length > 0 ? ways : WAYS) {
  const { status } = spawnSync(process.execPath, [program, way, machines, seed], {
    stdio: 'inherit',
  });
  failed ||= status !== 0;
}
rmSync(directory, { recursive: true, force: true });
process.exitCode = failed ? 1 : 0;
