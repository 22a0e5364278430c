// How the service is bundled. Starting on a fraction of a core is part of every failover, so the bundle is one CommonJS
// file, without what is never used: the worker threads in which pino would run log transports.
import { copyFile } from 'node:fs/promises';
import { join } from 'node:path';
import { build } from 'esbuild';

/** Modules that are required when the bundle is loaded, but that nothing here calls. */
const UNUSED = /^thread-stream$|^\.\/(lib\/)?transport$/;
/** Of this one pino asks whether it runs in the main thread; it always does. */
const THREADS = /^(node:)?worker_threads$/;

const leftOut = {
  name: 'left-out',
  setup(b) {
    const replaceBy = (namespace, filter, contents) => {
      b.onResolve({ filter }, (args) => ({ path: args.path, namespace }));
      b.onLoad({ filter: /.*/, namespace }, () => ({ contents, loader: 'js' }));
    };
    replaceBy('unused', UNUSED, 'module.exports = {};');
    replaceBy('threads', THREADS, 'module.exports = { isMainThread: true };');
  },
};

/** Optional packages, each a bundle of its own beside the program. */
const PACKAGES = ['drain'];
const PACKAGE = /^@robinspread\/(\w+)$/;

/** The program requires a package's bundle only when it is enabled. */
const besideProgram = {
  name: 'beside-program',
  setup(b) {
    b.onResolve({ filter: PACKAGE }, (args) => ({
      path: `./${PACKAGE.exec(args.path)[1]}.cjs`,
      external: true,
    }));
  },
};

const OPTIONS = {
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minify: true,
  legalComments: 'none',
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
};

/** Writes the program, `main.cjs`, `bundle.cjs` and one bundle for each package, to a directory. */
export const bundle = async (directory) => {
  await build({
    entryPoints: { bundle: 'src/cli/main.ts' },
    outdir: directory,
    plugins: [leftOut, besideProgram],
    // A package is required: the program runs where no dynamic import is at hand.
    supported: { 'dynamic-import': false },
    ...OPTIONS,
  });
  await build({
    entryPoints: Object.fromEntries(
      PACKAGES.map((name) => [name, `packages/${name}/src/index.ts`]),
    ),
    outdir: directory,
    ...OPTIONS,
  });
  await copyFile('scripts/entry.cjs', join(directory, 'main.cjs'));
};
