/**
 * Guards against fixed limits below 4,200 machines and against excessive work per step, which is
 * counted, not timed.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { CloudClient } from '../src/adapters/cloud/cloud-client.js';
import { parseEndpoint } from '../src/adapters/configuration/settings.js';
import { KeyValueStoreClient } from '../src/adapters/key-value-store/key-value-store-client.js';
import { HeartbeatParser } from '../src/adapters/workers/heartbeat-parser.js';
import { ATTEMPTS_PER_REVISION } from '../src/core/lifecycle/attempts.js';
import type { TaskStatus } from '../src/core/model/heartbeat.js';
import type { MachineId, Revision } from '../src/core/model/ids.js';
import { cleanUp, cleanups } from './stand-ins/cluster.js';
import { core, team } from './support/builders.js';
import { CoreDriver, running } from './support/core-driver.js';
import { CountingMap } from './support/counting-map.js';

const FLEET_SIZE = 4200;
const machineIds = Array.from({ length: FLEET_SIZE }, (_, i) => `n-${String(i).padStart(6, '0')}`);

afterEach(cleanUp);

describe('a fleet of 4,200 machines', () => {
  it('is cached whole by the heartbeat parser: unchanged tasks are decoded once', () => {
    const parser = new HeartbeatParser();
    const heartbeatBody = (machineId: string, sequence: number) => ({
      Berth: machineId,
      Endpoint: '127.0.0.1:9',
      Hull: 'c8',
      Yard: 'a',
      Loaners: false,
      Tenure: 1,
      Tick: sequence,
      Baton: 1,
      RecallS: null,
      Pieces: [
        { Piece: 'job-1/1', Try: 1, Status: 'running' },
        { Piece: 'job-2/1', Try: 2, Status: 'running' },
      ],
    });
    for (let sequence = 1; sequence <= 20; sequence += 1)
      for (const machineId of machineIds) parser.parse(heartbeatBody(machineId, sequence));
    expect(parser.decodedTaskCount).toBe(2 * FLEET_SIZE);
    expect(parser.cachedMachineCount).toBe(FLEET_SIZE);
  });

  it('has machines without heartbeats evicted from the cache of the heartbeat parser', () => {
    const parser = new HeartbeatParser();
    const heartbeatBody = (machineId: string) => ({
      Berth: machineId,
      Endpoint: 'e',
      Hull: 'c8',
      Yard: 'a',
      Tenure: 1,
      Tick: 1,
      Baton: 1,
    });
    for (const machineId of machineIds) parser.parse(heartbeatBody(machineId));
    for (let i = 0; i < 12 * FLEET_SIZE; i += 1) parser.parse(heartbeatBody(machineIds[i % 100]!));
    expect(parser.cachedMachineCount).toBe(100);
  });

  it('is scheduled with work linear in its size, and a heartbeat iterates over no machine', () => {
    const teams = new Map([team('blue', 80_000)].map((t) => [t.name, t]));
    const driver = new CoreDriver(
      core({
        teams,
        storeWritesPerSecond: 4000,
        maxTransactionOperations: 1000,
        maxValueBytes: 16_384,
      }),
    );
    const countingMachines = new CountingMap(driver.state.machines);
    Object.assign(driver.state, { machines: countingMachines });
    driver.sendHeartbeats(new Map(machineIds.map((machineId) => [machineId, []])));
    driver.sendHeartbeats(new Map(machineIds.map((machineId) => [machineId, []])));
    expect(driver.state.machines.size).toBe(FLEET_SIZE);
    for (let i = 0; i < 100; i += 1) driver.submit(`job-${i}`, { tasks: 500, cpus: 1 });
    const tasksByMachine = new Map(
      machineIds.map((machineId): [string, TaskStatus[]] => [machineId, []]),
    );
    let started = 0;
    for (let round = 0; round < 40 && started < FLEET_SIZE * 8; round += 1) {
      for (const [machineId, commands] of driver.sendHeartbeats(tasksByMachine)) {
        const starts = driver.startsIn(commands);
        tasksByMachine.get(machineId)!.push(...starts.map(running));
        started += starts.length;
      }
    }
    expect(started).toBe(FLEET_SIZE * 8);
    // A tick and a scheduling round visit each machine a bounded number of times (16 when written).
    countingMachines.visited = 0;
    driver.advance(2000);
    expect(countingMachines.visited / (4 * FLEET_SIZE)).toBeLessThan(24);
    countingMachines.visited = 0;
    driver.send({
      kind: 'heartbeat',
      heartbeat: { ...driver.currentHeartbeat('n-000001'), sequence: 1_000_000 },
      ticket: null,
    });
    expect(countingMachines.visited).toBe(0);
  }, 60_000);

  it('does not run out of attempt numbers: each revision written by the leader adds some', () => {
    const driver = new CoreDriver();
    driver.bringUp('n-1');
    driver.state.nextAttemptOffset = ATTEMPTS_PER_REVISION - 1;
    driver.submit('job-1', { tasks: 3 });
    const first = driver.startsIn(driver.sendHeartbeat('n-1'));
    expect(first).toHaveLength(1);
    const fencingToken = driver.state.config.fencingToken;
    driver.send({ kind: 'batch-stored', batch: -1, revision: (fencingToken + 3) as Revision });
    driver.advance(2500);
    const more = driver.startsIn(driver.sendHeartbeat('n-1', first.map(running)));
    expect(more).toHaveLength(2);
    for (const { attempt } of more) {
      expect(attempt).toBeGreaterThanOrEqual((fencingToken + 1) * ATTEMPTS_PER_REVISION);
      expect(attempt).toBeLessThan((fencingToken + 4) * ATTEMPTS_PER_REVISION);
    }
  });

  it('is listed in pages, leaving half the rate to provisioning and deletions', async () => {
    let pages = 0;
    const server = createServer((req, res) => {
      const url = new URL(req.url ?? '/', 'http://x');
      const lastId = url.searchParams.get('Since') ?? '';
      const remaining = machineIds.filter((machineId) => machineId > lastId);
      pages += 1;
      const Berths = remaining
        .slice(0, 500)
        .map((Ref) => ({ Ref, Endpoint: 'e', Hull: 'c8', Yard: 'a', Status: 'running' }));
      res.end(JSON.stringify({ Berths, More: remaining.length > 500 }));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    cleanups.push(() => server.close());
    const rps = 30;
    const cloud = new CloudClient(
      parseEndpoint(`127.0.0.1:${(server.address() as AddressInfo).port}`),
      rps,
    );
    cleanups.push(() => cloud.close());
    const listed = await cloud.listMachines();
    expect(listed?.map((m) => m.id)).toEqual(machineIds as MachineId[]);
    expect(pages).toBe(9);
    expect((pages / cloud.listPauseMs) * 1000).toBeLessThan(rps / 2);
  });

  it('makes a watch return too-old when its changes exceed the size of a response', async () => {
    const oversizedValue = 'x'.repeat(9 * 1024 * 1024);
    const server = createServer((_, res) =>
      res.end(
        JSON.stringify({ Epoch: 5, News: [{ Write: 'j/1', Data: oversizedValue, Stamp: 5 }] }),
      ),
    );
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    cleanups.push(() => server.close());
    const rates = { rps: 100, writeRps: 100 };
    const endpoint = parseEndpoint(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const client = new KeyValueStoreClient(endpoint, { ...rates, lowered: rates });
    cleanups.push(() => client.close());
    // Callers then list all keys in pages.
    expect(await client.watch('j/', 1 as Revision, 100)).toEqual({ kind: 'too-old' });
  });
});
