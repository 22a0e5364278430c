/**
 * Controllers as child processes that run the deployed bundle, with stand-ins for the cloud and
 * key-value store.
 */
import { type ChildProcess, execFile, spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { Cloud } from './cloud.js';
import { cleanups, freePort, until } from './cluster.js';
import { requestJson } from './http.js';
import { KeyValueStoreServer } from './key-value-store.js';
import { settingsText } from './settings.js';

const execute = promisify(execFile);

/** Writes the bundle to a new directory, which the caller removes. */
export const buildProgram = async (): Promise<{
  directory: string;
  remove: () => Promise<void>;
}> => {
  const directory = await mkdtemp(join(tmpdir(), 'robinspread-'));
  const script = `import('./scripts/bundle.mjs').then(({ bundle }) => bundle(${JSON.stringify(directory)}))`;
  await execute(process.execPath, ['-e', script]);
  return { directory, remove: () => rm(directory, { recursive: true, force: true }) };
};

/** The output and exit code of a command. */
export interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly error: string;
}

/** Runs a command of the bundled program and waits for its exit. */
export const runCommand = async (
  directory: string,
  args: readonly string[],
): Promise<CommandResult> => {
  const child = spawn(process.execPath, [join(directory, 'main.cjs'), ...args]);
  let out = '';
  let error = '';
  child.stdout.on('data', (bytes: Buffer) => {
    out += bytes.toString();
  });
  child.stderr.on('data', (bytes: Buffer) => {
    error += bytes.toString();
  });
  const code = await new Promise<number>((resolve) =>
    child.on('close', (status) => resolve(status ?? -1)),
  );
  return { code, out, error };
};

/** A controller; a restart replaces its `child`. */
export interface ControllerProcess {
  readonly node: string;
  readonly api: string;
  child: ChildProcess;
}

/** Starts controllers with `serve` and `args`; waits until all are ready and one leads. */
export const startProcesses = async (
  directory: string,
  count: number,
  capacity: number,
  args: readonly string[] = [],
  params: Record<string, unknown> = {},
) => {
  const state = new KeyValueStoreServer();
  const cloud = new Cloud(capacity);
  cleanups.push(
    () => state.close(),
    () => cloud.close(),
  );
  const outside = { cloud: await cloud.listen(), state: await state.listen() };
  const ports: { api: string; back: string }[] = [];
  for (let i = 0; i < count; i += 1) {
    ports.push({ api: `127.0.0.1:${await freePort()}`, back: `127.0.0.1:${await freePort()}` });
  }
  cloud.controllerAddresses = ports.map(({ api }) => api);
  cloud.controllerNames = ports.map((_, i) => `node-${i}`);
  const base = JSON.parse(settingsText()) as { params: Record<string, unknown> };
  const spawnNode = async (i: number): Promise<ChildProcess> => {
    const file = join(directory, `settings-${i}.json`);
    const seeds = ports.flatMap(({ back }, j) =>
      j === i ? [] : [{ node: `node-${j}`, zone: 'a', endpoint: back }],
    );
    const { api, back } = ports[i]!;
    const settings = {
      ...base,
      node: `node-${i}`,
      api_addr: api,
      back,
      seeds,
      outside,
      params: { ...base.params, ...params },
    };
    await writeFile(file, JSON.stringify(settings));
    const child = spawn(
      process.execPath,
      [join(directory, 'main.cjs'), 'serve', '--config', file, ...args],
      {
        stdio: 'ignore',
      },
    );
    cleanups.push(() => child.kill('SIGKILL'));
    return child;
  };
  const processes: ControllerProcess[] = [];
  for (const [i, { api }] of ports.entries()) {
    processes.push({ node: `node-${i}`, api, child: await spawnNode(i) });
  }
  for (const { api } of processes) {
    await until(async () => (await requestJson(api, '/up', undefined, 'GET'))?.status === 200);
  }
  const leader = () => {
    const data = state.keys.get('leader')?.value as { node?: string } | undefined;
    return processes.find(({ node }) => node === data?.node) ?? null;
  };
  await until(leader);
  /** Kills a process with SIGKILL, which it cannot handle, and starts it again. */
  const killAndRestart = async (which: ControllerProcess): Promise<void> => {
    which.child.kill('SIGKILL');
    which.child = await spawnNode(processes.indexOf(which));
  };
  return { state, cloud, cloudAt: outside.cloud, processes, leader, killAndRestart };
};
