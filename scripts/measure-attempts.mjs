/**
 * Measures the heap that one attempt takes in a leader, in its successor while it takes over, and
 * in a follower. Prints one line of JSON.
 *
 * Usage: node scripts/measure-attempts.mjs [MACHINES]
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { pathToFileURL } from 'node:url';
import { build } from 'esbuild';

const machines = Number(process.argv[2] ?? 100);
const directory = mkdtempSync(join(process.cwd(), 'target-measure-'));
const program = join(directory, 'attempt-memory.mjs');
try {
  await build({
    entryPoints: ['test/support/attempt-memory.ts'],
    outfile: program,
    bundle: true,
    format: 'esm',
    platform: 'node',
    target: 'node20',
    packages: 'external',
    logLevel: 'warning',
  });
  const { measureAttemptBytes } = await import(pathToFileURL(program).href);
  console.log(JSON.stringify({ machines, ...(await measureAttemptBytes(machines)) }));
} finally {
  rmSync(directory, { recursive: true, force: true });
}
