#!/usr/bin/env node
// Runs bundle.cjs, with the V8 code cache written at build time if this Node accepts it.
const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const vm = require('node:vm');

const read = (name, encoding) => {
  try {
    return readFileSync(join(__dirname, name), encoding);
  } catch {
    return undefined;
  }
};

const load = () => {
  const filename = join(__dirname, 'bundle.cjs');
  const source = `(function (exports, require, module) {${readFileSync(filename, 'latin1')}\n})`;
  const script = new vm.Script(source, { filename, cachedData: read('bundle.cache') });
  const module = { exports: {} };
  script.runInThisContext()(module.exports, require, module);
  return { script, bundle: module.exports };
};

if (process.argv[2] === '--compile-to') {
  const { script, bundle } = load();
  bundle.warm(readFileSync(process.argv[4], 'utf8')).then(() => {
    require('node:fs').writeFileSync(process.argv[3], script.createCachedData());
    process.exit(0);
  });
} else {
  load().bundle.run(process.argv);
}
