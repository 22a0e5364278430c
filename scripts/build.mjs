// Bundles the service into target/: one small entry and lazily loaded chunks, so that a start on a
// fraction of a core reads and compiles as little as it can.
import { rm } from 'node:fs/promises';
import { build } from 'esbuild';

await rm('target', { recursive: true, force: true });
await build({
  entryPoints: { main: 'src/cli/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.js' },
  bundle: true,
  splitting: true,
  minifySyntax: true,
  minifyWhitespace: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  external: ['msgpackr-extract'],
  banner: {
    js: "import { createRequire as makeRequire } from 'node:module'; const require = makeRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
