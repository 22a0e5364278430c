/**
 * Requests to the key-value store, the cloud and the workers as pinned at commit 90313a6: method,
 * path, type and body byte for byte; and how the answers of their protocols are read.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { CloudClient } from '../src/adapters/cloud/cloud-client.js';
import { KeyValueStoreClient } from '../src/adapters/key-value-store/key-value-store-client.js';
import { parseMachineTypes } from '../src/adapters/wire/cloud.js';
import { parseHeartbeat } from '../src/adapters/workers/heartbeat-parser.js';
import { WorkerClient } from '../src/adapters/workers/worker-client.js';
import type { EndCause, Heartbeat, TaskPhase, TaskStatus } from '../src/core/model/heartbeat.js';
import type {
  AttemptId,
  FencingToken,
  JobId,
  MachineId,
  MachineTypeName,
  ProvisionRequestId,
  Revision,
  TaskIndex,
  ZoneName,
} from '../src/core/model/ids.js';
import type { ListedMachine } from '../src/core/model/machine.js';
import type { WorkerCommand } from '../src/core/model/worker-command.js';
import type { LeaseId } from '../src/ports/key-value-store.js';
import { loadPins } from './fixtures/pins.js';
import { cleanUp, cleanups, until } from './stand-ins/cluster.js';
import { startRecordingServer } from './stand-ins/recording-server.js';

afterEach(cleanUp);

const inputs = loadPins('inputs');
const pins = loadPins('requests');

const RATES = { rps: 1000, writeRps: 1000 };
const LEASE = 7 as LeaseId;

describe('the client of the key-value store', () => {
  const clientOf = async (answer: Parameters<typeof startRecordingServer>[0]) => {
    const { sent, at } = await startRecordingServer(answer);
    const client = new KeyValueStoreClient(at, { ...RATES, lowered: RATES });
    cleanups.push(() => client.close());
    return { sent, client };
  };

  it('sends its requests in the pinned form', async () => {
    const { sent, client } = await clientOf(() => [404, {}]);
    const none = 0 as Revision;
    await client.get('j/job-000412');
    await client.list('l/', undefined, 500);
    await client.list('x/drain/', 'x/drain/d/os-update', 500);
    await client.compareAndSwap(
      [
        { key: 'j/job-1', revision: none },
        { key: 'f/job-1', revision: 12 as Revision },
      ],
      [
        { put: 'j/job-1', value: { at: 1, spec: { id: 'job-1', types: null } } },
        { put: 'leader', value: { node: 'node-0' }, lease: LEASE },
        { del: 'l/41/3' },
      ],
    );
    await client.compareAndSwap([], []);
    await client.grantLease(3000);
    await client.renewLease(LEASE);
    await client.revokeLease(LEASE);
    await client.watch('leader', 12 as Revision, 10_000);
    pins.check('state service', sent);
  });

  it('probes the pinned key while the store is unavailable', async () => {
    const { sent, client } = await clientOf(() => [503, { error: 'trouble' }]);
    await client.get('j/job-1');
    await until(() => sent.length > 1);
    pins.check('state service away', sent.slice(0, 2));
  });

  it('reads the answers of the protocol', async () => {
    const { sent, client } = await clientOf(({ method, path, body }) => {
      if (path === '/kv/j/job-1') return [200, { Path: 'j/job-1', Data: { at: 1 }, Stamp: 5 }];
      if (path.startsWith('/kv?')) {
        const more = !path.includes('Since');
        const key = more ? 'l/1/1' : 'l/1/2';
        return [
          200,
          { Items: [{ Path: key, Data: key, Stamp: 6 }], More: more, Epoch: more ? 9 : 10 },
        ];
      }
      if (path === '/multi' && body.includes('taken'))
        return [409, { failed: ['taken'], Epoch: 9 }];
      if (path === '/multi' && body.includes('ended')) return [400, { error: 'no such lease' }];
      if (path === '/multi' && body.includes('large')) return [400, { error: 'value too large' }];
      if (path === '/multi') return [200, { Epoch: 11 }];
      if (path === '/holds') return [200, { Hold: 7 }];
      if (path === '/holds/7/renew') return [200, { Hold: 7 }];
      if (path.startsWith('/follow?Under=old')) return [410, {}];
      if (path.startsWith('/follow')) {
        const News = [
          { Write: 'leader', Data: { node: 'node-1' }, Stamp: 12 },
          { Delete: 'leader', Stamp: 13 },
        ];
        return [200, { Epoch: 13, News }];
      }
      return [404, { method }];
    });
    const revision = (n: number) => n as Revision;
    expect(await client.get('j/job-1')).toEqual({
      kind: 'found',
      item: { key: 'j/job-1', value: { at: 1 }, revision: 5 },
    });
    expect(await client.get('j/job-2')).toEqual({ kind: 'absent' });
    expect(await client.listAll('l/')).toEqual({
      kind: 'listed',
      items: [
        { key: 'l/1/1', value: 'l/1/1', revision: 6 },
        { key: 'l/1/2', value: 'l/1/2', revision: 6 },
      ],
      revision: 9,
    });
    pins.check('pages of keys', sent.slice(2));
    expect(await client.compareAndSwap([], [{ del: 'a' }])).toEqual({
      kind: 'committed',
      revision: 11,
    });
    expect(await client.compareAndSwap([], [{ del: 'taken' }])).toEqual({ kind: 'conflict' });
    expect(await client.compareAndSwap([], [{ del: 'ended' }])).toEqual({ kind: 'lease-expired' });
    expect(await client.compareAndSwap([], [{ del: 'large' }])).toEqual({ kind: 'too-large' });
    expect(await client.grantLease(3000)).toEqual({ kind: 'granted', lease: 7 });
    expect(await client.renewLease(LEASE)).toEqual({ kind: 'renewed' });
    expect(await client.renewLease(8 as LeaseId)).toEqual({ kind: 'lease-expired' });
    expect(await client.watch('old', revision(1), 10)).toEqual({ kind: 'too-old' });
    expect(await client.watch('leader', revision(1), 10)).toEqual({
      kind: 'changes',
      revision: 13,
      changes: [
        { key: 'leader', value: { node: 'node-1' }, revision: 12 },
        { key: 'leader', deleted: true, revision: 13 },
      ],
    });
  });
});

describe('the client of the cloud', () => {
  it('sends its requests in the pinned form, and reads the answers of the protocol', async () => {
    const listed = { Endpoint: '127.0.0.1:4100', Hull: 'c8', Yard: 'a' };
    const { sent, at } = await startRecordingServer(({ method, path }) => {
      if (path === '/machine_types') return [200, inputs.get('types')];
      if (path === '/machines' && method === 'POST')
        return [200, { Berths: ['n-000001', 'n-000002'] }];
      if (path === '/machines?Limit=500') {
        const Berths = [
          { ...listed, Ref: 'n-000001', Loaners: true, Status: 'running', HeldS: 12.5 },
          { ...listed, Ref: 'n-000002', Loaners: false, Status: 'starting', HeldS: 1 },
        ];
        return [200, { Berths, More: true }];
      }
      if (path.startsWith('/machines?')) {
        return [200, { Berths: [{ Ref: 'n-000003', Hull: 'g4', Yard: 'b', Status: 'failed' }] }];
      }
      return [200, {}];
    });
    const client = new CloudClient(at, 100);
    cleanups.push(() => client.close());
    expect(await client.listMachineTypes()).toEqual(parseMachineTypes(inputs.get('types')));
    const provisioned = await client.provision({
      request: 'x-41-7' as ProvisionRequestId,
      type: 'c8' as MachineTypeName,
      zone: 'a' as ZoneName,
      spot: true,
      count: 2,
    });
    expect(provisioned).toEqual({ kind: 'provisioned', machines: ['n-000001', 'n-000002'] });
    expect(await client.deleteMachines(['n-000001', 'n-000002'] as MachineId[])).toBe(true);
    const machine = (id: string, rest: Omit<ListedMachine, 'id'>): ListedMachine => ({
      id: id as MachineId,
      ...rest,
    });
    const c8 = { endpoint: '127.0.0.1:4100', type: 'c8' as MachineTypeName, zone: 'a' as ZoneName };
    const g4 = { endpoint: '', type: 'g4' as MachineTypeName, zone: 'b' as ZoneName };
    expect(await client.listMachines()).toEqual([
      machine('n-000001', { ...c8, spot: true, status: 'running', ageS: 12.5 }),
      machine('n-000002', { ...c8, spot: false, status: 'booting', ageS: 1 }),
      machine('n-000003', { ...g4, spot: false, status: 'failed', ageS: 0 }),
    ]);
    pins.check('cloud', sent);
  });
});

/** The pinned heartbeat in decoded form. */
const decodedHeartbeat = (): Heartbeat => {
  const task = (
    n: number,
    phase: TaskPhase,
    cause: EndCause | null,
    saved = false,
  ): TaskStatus => ({
    job: 'job-1' as JobId,
    index: n as TaskIndex,
    attempt: (41000001 + n) as AttemptId,
    phase,
    cause,
    checkpointSaved: saved,
  });
  return {
    machine: 'n-000007' as MachineId,
    endpoint: '127.0.0.1:4100',
    type: 'c8' as MachineTypeName,
    zone: 'b' as ZoneName,
    spot: true,
    agentEpoch: 3,
    sequence: 12,
    fencingToken: 41 as FencingToken,
    reclaimNoticeS: 25,
    tasks: [
      task(0, 'fetching', null),
      task(1, 'fetching', null),
      task(2, 'running', null, true),
      task(3, 'checkpointing', null),
      task(4, 'ended', 'done'),
      task(5, 'ended', 'stopped', true),
      task(6, 'ended', 'error'),
      task(7, 'ended', 'no_room'),
      task(8, 'ended', 'busy'),
      task(9, 'ended', 'unknown'),
      task(10, 'ended', 'other'),
      task(11, 'running', null),
    ],
  };
};

describe('a heartbeat of a worker', () => {
  it('is read from its pinned form', () => {
    expect(parseHeartbeat(inputs.get('report'))).toEqual(decodedHeartbeat());
  });
});

describe('direct commands', () => {
  it('are sent in the pinned form, and the heartbeat in the answer is read', async () => {
    const { sent, at } = await startRecordingServer(() => [200, inputs.get('report')]);
    const task = {
      job: 'job-000412' as JobId,
      index: 8 as TaskIndex,
      attempt: 41000002 as AttemptId,
    };
    const commands: WorkerCommand[] = [
      { op: 'start', ...task },
      { op: 'kill', ...task, graceS: 3 },
      { op: 'reap', ...task },
    ];
    const client = new WorkerClient(4);
    const heartbeat = await client.sendCommands(
      `${at.host}:${at.port}`,
      41 as FencingToken,
      3,
      commands,
    );
    expect(heartbeat).toEqual(decodedHeartbeat());
    pins.check('direct orders', sent);
  });
});

describe('the pinned requests', () => {
  it('are all compared', () => expect(pins.unusedNames()).toEqual([]));
});
