/**
 * A fleet of 4,200 machines: no fixed limit lies below it, and the work of each step is counted,
 * not timed.
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

const FLEET = 4200;
const names = Array.from({ length: FLEET }, (_, i) => `n-${String(i).padStart(6, '0')}`);

afterEach(cleanUp);

describe('a fleet of 4,200 machines', () => {
  it('is cached whole by the heartbeat parser: unchanged tasks are decoded once', () => {
    const parser = new HeartbeatParser();
    const body = (name: string, sequence: number) => ({
      Berth: name,
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
      for (const name of names) parser.parse(body(name, sequence));
    expect(parser.decodedTaskCount).toBe(2 * FLEET);
    expect(parser.cachedMachineCount).toBe(FLEET);
  });

  it('leaves no machine in the cache of the heartbeat parser that no longer sends any', () => {
    const parser = new HeartbeatParser();
    const body = (name: string) => ({
      Berth: name,
      Endpoint: 'e',
      Hull: 'c8',
      Yard: 'a',
      Tenure: 1,
      Tick: 1,
      Baton: 1,
    });
    for (const name of names) parser.parse(body(name));
    for (let i = 0; i < 12 * FLEET; i += 1) parser.parse(body(names[i % 100]!));
    expect(parser.cachedMachineCount).toBe(100);
  });

  it('is scheduled with work linear in the machines, and heartbeats walk over none of them', () => {
    const teams = new Map([team('blue', 80_000)].map((t) => [t.name, t]));
    const s = new CoreDriver(
      core({
        teams,
        storeWritesPerSecond: 4000,
        maxTransactionOperations: 1000,
        maxValueBytes: 16_384,
      }),
    );
    const counting = new CountingMap(s.state.machines);
    Object.assign(s.state, { machines: counting });
    s.sendHeartbeats(new Map(names.map((name) => [name, []])));
    s.sendHeartbeats(new Map(names.map((name) => [name, []])));
    expect(s.state.machines.size).toBe(FLEET);
    for (let i = 0; i < 100; i += 1) s.submit(`job-${i}`, { tasks: 500, cpus: 1 });
    const told = new Map(names.map((name): [string, TaskStatus[]] => [name, []]));
    let started = 0;
    for (let round = 0; round < 40 && started < FLEET * 8; round += 1) {
      for (const [name, orders] of s.sendHeartbeats(told)) {
        const starts = s.startsIn(orders);
        told.get(name)!.push(...starts.map(running));
        started += starts.length;
      }
    }
    expect(started).toBe(FLEET * 8);
    // A tick and a round look at each machine a bounded number of times (16 when this was written).
    counting.visited = 0;
    s.advance(2000);
    expect(counting.visited / (4 * FLEET)).toBeLessThan(24);
    counting.visited = 0;
    s.send({
      kind: 'heartbeat',
      heartbeat: { ...s.currentHeartbeat('n-000001'), sequence: 1_000_000 },
      ticket: null,
    });
    expect(counting.visited).toBe(0);
  }, 60_000);

  it('does not run out of attempt numbers: revisions stored under the token add theirs', () => {
    const s = new CoreDriver();
    s.bringUp('n-1');
    s.state.nextAttemptOffset = ATTEMPTS_PER_REVISION - 1;
    s.submit('job-1', { tasks: 3 });
    const first = s.startsIn(s.sendHeartbeat('n-1'));
    expect(first).toHaveLength(1);
    const term = s.state.config.fencingToken;
    s.send({ kind: 'batch-stored', batch: -1, revision: (term + 3) as Revision });
    s.advance(2500);
    const more = s.startsIn(s.sendHeartbeat('n-1', first.map(running)));
    expect(more).toHaveLength(2);
    for (const { attempt } of more) {
      expect(attempt).toBeGreaterThanOrEqual((term + 1) * ATTEMPTS_PER_REVISION);
      expect(attempt).toBeLessThan((term + 4) * ATTEMPTS_PER_REVISION);
    }
  });

  it('is listed in pages, with pauses that leave most of the rate to provisioning and deletions', async () => {
    let pages = 0;
    const server = createServer((req, res) => {
      const url = new URL(req.url ?? '/', 'http://x');
      const since = url.searchParams.get('Since') ?? '';
      const rest = names.filter((name) => name > since);
      pages += 1;
      const Berths = rest
        .slice(0, 500)
        .map((Ref) => ({ Ref, Endpoint: 'e', Hull: 'c8', Yard: 'a', Status: 'running' }));
      res.end(JSON.stringify({ Berths, More: rest.length > 500 }));
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
    expect(listed?.map((m) => m.id)).toEqual(names as MachineId[]);
    expect(pages).toBe(9);
    expect((pages / cloud.listPauseMs) * 1000).toBeLessThan(rps / 2);
  });

  it('may change more than one answer of a watch holds: then all is read again in pages', async () => {
    const large = 'x'.repeat(9 * 1024 * 1024);
    const server = createServer((_, res) =>
      res.end(JSON.stringify({ Epoch: 5, News: [{ Write: 'j/1', Data: large, Stamp: 5 }] })),
    );
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    cleanups.push(() => server.close());
    const rates = { rps: 100, writeRps: 100 };
    const at = parseEndpoint(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const state = new KeyValueStoreClient(at, { ...rates, lowered: rates });
    cleanups.push(() => state.close());
    expect(await state.watch('j/', 1 as Revision, 100)).toEqual({ kind: 'too-old' });
  });
});
