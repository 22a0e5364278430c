/**
 * What the program loads until it serves: on a few hundredths of a core, every module delays each
 * start by milliseconds.
 */
import { execFile, spawn } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import { basename, join } from 'node:path';
import { promisify } from 'node:util';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { Cloud } from './stand-ins/cloud.js';
import { body, cleanUp, cleanups, freePort, until } from './stand-ins/cluster.js';
import { post } from './stand-ins/http.js';
import { KeyValueStoreServer } from './stand-ins/key-value-store.js';
import { buildProgram } from './stand-ins/processes.js';
import { settingsText } from './stand-ins/settings.js';

const run = promisify(execFile);
let directory = '';
let remove = async (): Promise<void> => {};

beforeAll(async () => {
  ({ directory, remove } = await buildProgram());
  // On SIGUSR2 writes what has been loaded: Node's own modules, and files.
  const loaded =
    'JSON.stringify({ builtIns: process.moduleLoadList, files: Object.keys(require.cache) })';
  const spy = `process.on('SIGUSR2', () => process.stdout.write(${loaded} + '\\n'));`;
  await writeFile(join(directory, 'spy.cjs'), spy);
});
afterAll(() => remove());
afterEach(cleanUp);

const builtIns = (list: readonly string[]): string[] =>
  list
    .filter((name) => name.startsWith('NativeModule '))
    .map((name) => name.slice('NativeModule '.length));

/** One controller as a process of its own, beside a key-value store and a cloud. */
const startProcess = async (...more: string[]) => {
  const state = new KeyValueStoreServer();
  const cloud = new Cloud(2);
  cleanups.push(
    () => state.close(),
    () => cloud.close(),
  );
  const api = `127.0.0.1:${await freePort()}`;
  cloud.nodes = [api];
  cloud.names = ['node-0'];
  const outside = { cloud: await cloud.listen(), state: await state.listen() };
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
    ...more,
  ];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'ignore'] });
  cleanups.push(() => child.kill('SIGKILL'));
  let output = '';
  child.stdout.on('data', (bytes: Buffer) => {
    output += bytes.toString();
  });
  const ask = async () => {
    output = '';
    child.kill('SIGUSR2');
    await until(() => output.endsWith('\n'));
    return JSON.parse(output) as { builtIns: string[]; files: string[] };
  };
  const loaded = async (): Promise<string[]> => builtIns((await ask()).builtIns);
  const files = async (): Promise<string[]> =>
    (await ask()).files.map((file) => basename(file)).sort();
  return { api, state, loaded, files };
};

describe('start-up', () => {
  it('loads no Node module that serving, users and workers do not need', async () => {
    const bareNode = await run(process.execPath, ['-p', 'JSON.stringify(process.moduleLoadList)']);
    const known = new Set(builtIns(JSON.parse(bareNode.stdout) as string[]));
    const { api, loaded } = await startProcess();
    await until(async () => (await post(api, '/up', undefined, 'GET'))?.status === 200);
    const first = (await loaded()).filter((name) => !known.has(name));
    const needless = [
      'undici',
      'http2',
      'tls',
      'crypto',
      'worker_threads',
      'perf_hooks',
      'internal/webstreams',
    ];
    const isNeedless = (name: string) =>
      !known.has(name) && needless.some((n) => name === n || name.includes(`${n}/`));
    expect(first.filter(isNeedless)).toEqual([]);
    // 54 when this was written, 111 before.
    expect(first.length).toBeLessThanOrEqual(60);
    expect((await post(api, '/api/jobs', body('job-1')))?.status).toBe(201);
    await until(async () => {
      const view = (await post(api, '/api/jobs/job-1', undefined, 'GET'))?.body as {
        Status?: string;
      } | null;
      return view?.Status === 'done';
    });
    expect((await post(api, '/nowhere', undefined, 'GET'))?.status).toBe(404);
    expect((await loaded()).filter(isNeedless)).toEqual([]);
  });

  it('loads no package that no file enables, and stores no record of one', async () => {
    const off = await startProcess();
    await until(async () => (await post(off.api, '/up', undefined, 'GET'))?.status === 200);
    expect(await off.files()).toEqual(['main.cjs', 'spy.cjs']);
    expect((await post(off.api, '/api/drains', undefined, 'GET'))?.status).toBe(404);
    expect((await post(off.api, '/api/jobs', body('job-1')))?.status).toBe(201);
    await until(() => off.state.keys.has('f/job-1'));
    expect([...off.state.keys.keys()].filter((key) => key.startsWith('x/'))).toEqual([]);
    const on = await startProcess('--enable', 'deploy/drain.scm');
    await until(async () => (await post(on.api, '/api/drains', undefined, 'GET'))?.status === 200);
    expect(await on.files()).toEqual(['drain.cjs', 'main.cjs', 'spy.cjs']);
  });
});
