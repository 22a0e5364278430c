// Builds the service into target/, together with its V8 code cache (bundle.cache).
import { execFileSync } from 'node:child_process';
import { readFile, rm } from 'node:fs/promises';
import { bundle } from './bundle.mjs';

await rm('target', { recursive: true, force: true });
await bundle('target');

// V8 accepts a code cache only from the same version of Node, started with the same flags.
const service = await readFile('deploy/service.toml', 'utf8');
const flags =
  /^run = "node (.*?) ?target\/main\.cjs/m.exec(service)?.[1]?.split(' ').filter(Boolean) ?? [];
execFileSync(process.execPath, [
  ...flags,
  'target/main.cjs',
  '--compile-to',
  'target/bundle.cache',
  'scripts/sample-settings.json',
]);
