// Builds the service into target/, with its compiled code beside it.
import { execFileSync } from 'node:child_process';
import { readFile, rm } from 'node:fs/promises';
import { bundle } from './bundle.mjs';

await rm('target', { recursive: true, force: true });
await bundle('target');

// The compiled code is only accepted by a node of the same version and with the same flags.
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
