// Bundles the service into target/main.cjs. Starting on a fraction of a core is part of every failover, so the
// bundle is one CommonJS file, minified, without what is never used: HTTP/2 and msgpackr's native add-on.
import { rm } from 'node:fs/promises';
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
  entryPoints: { main: 'src/cli/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minify: true,
  keepNames: false,
  legalComments: 'none',
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  plugins: [leftOut],
  logLevel: 'warning',
});
