/**
 * The modules loaded until the program serves: on a few hundredths of a core, each delays every
 * start by milliseconds.
 */
import { execFile, spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { basename, join } from 'node:path';
import { promisify } from 'node:util';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { Cloud } from './stand-ins/cloud.js';
import { cleanUp, cleanups, freePort, jobBody, until } from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';
import { KeyValueStoreServer } from './stand-ins/key-value-store.js';
import { buildProgram } from './stand-ins/processes.js';
import { settingsText } from './stand-ins/settings.js';

const run = promisify(execFile);
let directory = '';
let remove = async (): Promise<void> => {};

beforeAll(async () => {
  ({ directory, remove } = await buildProgram());
  // On SIGUSR2 the program prints the built-in modules and the files it has loaded.
  const loadedExpression =
    'JSON.stringify({ builtIns: process.moduleLoadList, files: Object.keys(require.cache) })';
  const spy = `process.on('SIGUSR2', () => process.stdout.write(${loadedExpression} + '\\n'));`;
  await writeFile(join(directory, 'spy.cjs'), spy);
});
afterAll(() => remove());
afterEach(cleanUp);

const builtIns = (list: readonly string[]): string[] =>
  list
    .filter((name) => name.startsWith('NativeModule '))
    .map((name) => name.slice('NativeModule '.length));

/** Starts a controller process, with stand-ins for the store and the cloud. */
const startProcess = async (...extraArgs: string[]) => {
  const store = new KeyValueStoreServer();
  const cloud = new Cloud(2);
  cleanups.push(
    () => store.close(),
    () => cloud.close(),
  );
  const api = `127.0.0.1:${await freePort()}`;
  cloud.controllerAddresses = [api];
  cloud.controllerNames = ['node-0'];
  const outside = { cloud: await cloud.listen(), state: await store.listen() };
  const back = `127.0.0.1:${await freePort()}`;
  const settings = join(directory, 'settings.json');
  await writeFile(settings, settingsText({ api_addr: api, back, seeds: [], outside }));
  const args = [
    '-r',
    join(directory, 'spy.cjs'),
    join(directory, 'main.cjs'),
    'serve',
    '--config',
    settings,
    ...extraArgs,
  ];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'ignore'] });
  cleanups.push(() => child.kill('SIGKILL'));
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => {
    output += bytes.toString();
  });
  const readLoaded = async () => {
    output = '';
    child.kill('SIGUSR2');
    await until(() => output.endsWith('\n'));
    return JSON.parse(output) as { builtIns: string[]; files: string[] };
  };
  const loaded = async (): Promise<string[]> => builtIns((await readLoaded()).builtIns);
  const files = async (): Promise<string[]> =>
    (await readLoaded()).files.map((file) => basename(file)).sort();
  return { api, store, loaded, files };
};

describe('start-up', () => {
  it('loads no Node module that serving, users and workers do not need', async () => {
    const bareNode = await run(process.execPath, ['-p', 'JSON.stringify(process.moduleLoadList)']);
    const bareModules = new Set(builtIns(JSON.parse(bareNode.stdout) as string[]));
    const { api, loaded } = await startProcess();
    await until(async () => (await requestJson(api, '/up', undefined, 'GET'))?.status === 200);
    const loadedAtStart = (await loaded()).filter((name) => !bareModules.has(name));
    const unneededModules = [
      'undici',
      'http2',
      'tls',
      'crypto',
      'worker_threads',
      'perf_hooks',
      'internal/webstreams',
    ];
    const isUnneeded = (name: string) =>
      !bareModules.has(name) && unneededModules.some((n) => name === n || name.includes(`${n}/`));
    expect(loadedAtStart.filter(isUnneeded)).toEqual([]);
    // 54 at present; 111 with the modules that are no longer loaded.
    expect(loadedAtStart.length).toBeLessThanOrEqual(60);
    expect((await requestJson(api, '/api/jobs', jobBody('job-1')))?.status).toBe(201);
    await until(async () => {
      const view = (await requestJson(api, '/api/jobs/job-1', undefined, 'GET'))?.body as {
        Status?: string;
      } | null;
      return view?.Status === 'done';
    });
    expect((await requestJson(api, '/nowhere', undefined, 'GET'))?.status).toBe(404);
    expect((await loaded()).filter(isUnneeded)).toEqual([]);
  });

  it('loads no package that no file enables, and stores no record of one', async () => {
    const withoutPackage = await startProcess();
    await until(
      async () => (await requestJson(withoutPackage.api, '/up', undefined, 'GET'))?.status === 200,
    );
    expect(await withoutPackage.files()).toEqual(['main.cjs', 'spy.cjs']);
    expect((await requestJson(withoutPackage.api, '/api/drains', undefined, 'GET'))?.status).toBe(
      404,
    );
    expect((await requestJson(withoutPackage.api, '/api/jobs', jobBody('job-1')))?.status).toBe(
      201,
    );
    await until(() => withoutPackage.store.keys.has('f/job-1'));
    expect([...withoutPackage.store.keys.keys()].filter((key) => key.startsWith('x/'))).toEqual([]);
    const withPackage = await startProcess('--enable', 'deploy/drain.scm');
    await until(
      async () =>
        (await requestJson(withPackage.api, '/api/drains', undefined, 'GET'))?.status === 200,
    );
    expect(await withPackage.files()).toEqual(['drain.cjs', 'main.cjs', 'spy.cjs']);
  });
});
