// Bundles the service into one CommonJS file. Every failover includes a start on a fraction of a
// core, so unused code (the worker threads of pino's log transports) is left out.
import { copyFile } from 'node:fs/promises';
import { join } from 'node:path';
import { build } from 'esbuild';

/** Modules that are required at load time but never called; replaced by a stub. */
const UNUSED_MODULES = /^thread-stream$|^\.\/(lib\/)?transport$/;
/** Replaced by a stub, since pino only reads `isMainThread` from it, which is always true. */
const WORKER_THREADS = /^(node:)?worker_threads$/;

const stubUnusedModules = {
  name: 'left-out',
  setup(pluginBuild) {
    const replaceWithStub = (namespace, filter, contents) => {
      pluginBuild.onResolve({ filter }, (args) => ({ path: args.path, namespace }));
      pluginBuild.onLoad({ filter: /.*/, namespace }, () => ({ contents, loader: 'js' }));
    };
    replaceWithStub('unused', UNUSED_MODULES, 'module.exports = {};');
    replaceWithStub('threads', WORKER_THREADS, 'module.exports = { isMainThread: true };');
  },
};

/** Optional packages, each built into a separate bundle in the same directory. */
const PACKAGES = ['drain'];
const PACKAGE_NAME = /^@robinspread\/(\w+)$/;

/** Makes the main bundle load a package's bundle only when the package is enabled. */
const externalPackages = {
  name: 'beside-program',
  setup(pluginBuild) {
    pluginBuild.onResolve({ filter: PACKAGE_NAME }, (args) => ({
      path: `./${PACKAGE_NAME.exec(args.path)[1]}.cjs`,
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

/** Writes the entry point `main.cjs`, `bundle.cjs` and a bundle per package to `directory`. */
export const bundle = async (directory) => {
  await build({
    entryPoints: { bundle: 'src/cli/main.ts' },
    outdir: directory,
    plugins: [stubUnusedModules, externalPackages],
    // Compiles import() to require(): entry.cjs runs the bundle where import() is not available.
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
