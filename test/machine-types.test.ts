/**
 * Machine types that change. Guards against a controller that refuses with 422, for good, what can
 * run on machine types which it does not know.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { MACHINE_TYPE } from './stand-ins/cloud.js';
import { cleanUp, jobBody, startCluster, until } from './stand-ins/cluster.js';
import { requestJson } from './stand-ins/http.js';

afterEach(cleanUp);

const LARGER_TYPE = { ...MACHINE_TYPE, Label: 'c16', Cpus: 16, Yards: ['c'] };
/** Fits no machine type that the cloud offers at first. */
const LARGER_TASKS = { Pieces: 1, Cpus: 12 };
const INFEASIBLE_TASKS = { Pieces: 1, Cpus: 20 };

const submit = async (address: string, id: string, overrides: object) =>
  (await requestJson(address, '/api/jobs', jobBody(id, overrides)))?.status;

const startWithStoredTypes = async () => {
  const cluster = await startCluster(2, { capacity: 0 });
  const { cloud, nodes, start } = cluster;
  // Both nodes are back in an outage of the cloud: what they know is what is stored.
  cloud.isDown = true;
  for (const position of [0, 1]) {
    nodes[position]!.stop();
    nodes[position] = start(position);
    await until(
      async () =>
        (await requestJson(nodes[position]!.address, '/up', undefined, 'GET'))?.status === 200,
    );
  }
  cloud.machineTypes = [MACHINE_TYPE, LARGER_TYPE];
  return cluster;
};

describe('controllers that know machine types from the key-value store', () => {
  it('cannot decide what fits none of them while the cloud does not answer', async () => {
    const { nodes } = await startWithStoredTypes();
    for (const [i, { address }] of nodes.entries()) {
      expect(await submit(address, `job-1${i}`, LARGER_TASKS)).toBe(503);
      expect(await submit(address, `job-2${i}`, { Pieces: 1 })).toBe(201);
      expect(await submit(address, `job-3${i}`, { Crew: 'nobody' })).toBe(422);
    }
  });

  it('accept what fits the types that the cloud offers, and refuse what fits none', async () => {
    const { cloud, nodes } = await startWithStoredTypes();
    cloud.isDown = false;
    for (const [i, { address }] of nodes.entries()) {
      const accepted = await until(async () => {
        const status = await submit(address, `job-1${i}`, LARGER_TASKS);
        return status !== 503 && status;
      });
      expect(accepted).toBe(201);
      expect(await submit(address, `job-2${i}`, INFEASIBLE_TASKS)).toBe(422);
    }
  });
});

describe('the stored machine types', () => {
  it('follow those that the cloud offers, for nodes that start without it', async () => {
    const { cloud, nodes, start, state } = await startWithStoredTypes();
    const restart = async (position: number) => {
      nodes[position]!.stop();
      nodes[position] = start(position);
      const { address } = nodes[position]!;
      await until(
        async () => (await requestJson(address, '/up', undefined, 'GET'))?.status === 200,
      );
    };
    cloud.isDown = false;
    await restart(0);
    await until(() => JSON.stringify(state.keys.get('c/types') ?? null).includes('c16'));
    cloud.isDown = true;
    await restart(1);
    expect(await submit(nodes[1]!.address, 'job-3', LARGER_TASKS)).toBe(201);
  });
});
