// Bundles the service into target/. Starting on a fraction of a core is part of every failover, so the bundle is one
// CommonJS file with its compiled code beside it, without what is never used: HTTP/2 and msgpackr's native add-on.
import { execFileSync } from 'node:child_process';
import { copyFile, readFile, rm } from 'node:fs/promises';
import { build } from 'esbuild';

const leftOut = {
  name: 'left-out',
  setup(b) {
    b.onResolve({ filter: /^(node:)?http2$|^msgpackr-extract$/ }, (args) => ({
      path: args.path,
      namespace: 'left-out',
    }));
    b.onLoad({ filter: /.*/, namespace: 'left-out' }, () => ({
      contents: 'exports.Http2ServerRequest = class {}; exports.constants = {};',
      loader: 'js',
    }));
  },
};

await rm('target', { recursive: true, force: true });
await build({
  entryPoints: { bundle: 'src/cli/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minify: true,
  legalComments: 'none',
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  plugins: [leftOut],
  logLevel: 'warning',
});
await copyFile('scripts/entry.cjs', 'target/main.cjs');

// The compiled code is only accepted by a node of the same version and with the same flags.
const service = await readFile('deploy/service.toml', 'utf8');
const flags = /^run = "node (.*?) ?target\/main\.cjs/m.exec(service)?.[1]?.split(' ').filter(Boolean) ?? [];
execFileSync(process.execPath, [...flags, 'target/main.cjs', '--compile-to', 'target/bundle.cache']);
