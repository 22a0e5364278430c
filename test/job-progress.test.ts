/** What a controller without the leader's answer learns of jobs, from the store and the workers. */
import { describe, expect, it, vi } from 'vitest';
import type { Heartbeat } from '../src/core/model/heartbeat.js';
import type { JobId, MachineId, NodeId, Revision, TeamName } from '../src/core/model/ids.js';
import type {
  Change,
  GetResult,
  KeyValueStore,
  StoredItem,
  WatchResult,
} from '../src/ports/key-value-store.js';
import type { Dependencies } from '../src/service/dependencies.js';
import { PlacedJobs } from '../src/service/job-progress/placed-jobs.js';
import { ProgressReader } from '../src/service/job-progress/progress-reader.js';
import { WorkerInspector } from '../src/service/job-progress/worker-inspector.js';
import { JobService } from '../src/service/jobs/job-service.js';
import type { PeerMonitor } from '../src/service/peers/peer-monitor.js';
import {
  encodeCompletion,
  encodeProgressSnapshot,
  encodeSegment,
} from '../src/service/stored-records.js';
import { log } from './stand-ins/cluster.js';
import { heartbeatOf, ledgerEntry, recordedAttributes, taskStatus } from './support/builders.js';

const RUNNING = 'job-1';
const REVISION = 5 as Revision;

/** A store whose watches report these changes once, and then nothing. */
const storeWith = (changes: () => Change[], items: () => readonly object[] = () => []) => {
  const writes: { readonly put: string; readonly value: unknown }[] = [];
  const store: Partial<KeyValueStore> = {
    compareAndSwap: async (_preconditions, mutations) => {
      writes.push(...(mutations as typeof writes));
      return { kind: 'committed', revision: REVISION };
    },
    watch: async (_prefix, _since, ms): Promise<WatchResult> => {
      await new Promise((resolve) => setTimeout(resolve, Math.min(ms, 20)));
      return { kind: 'changes', revision: REVISION, changes: changes() };
    },
    listAll: async <T>(prefix: string, decode = (item: StoredItem) => item as T) => ({
      kind: 'listed' as const,
      items: prefix === 'l/' ? (items() as StoredItem[]).map(decode) : [],
      revision: REVISION,
    }),
  };
  return { store: store as KeyValueStore, writes };
};

describe('a reader of progress snapshots', () => {
  const node = 'node-1' as NodeId;
  const limits = { maxPageBytes: 250, maxPages: 2 };
  const jobs = (count: number) =>
    Array.from({ length: count }, (_, i) => ({
      id: `job-${i}` as JobId,
      status: i === 1 ? null : ('running' as const),
      done: 1,
      running: 2,
    }));
  const readerOf = (life: string, n: number, count: number, omitPage = false) => {
    const request = { life, n };
    const pages = encodeProgressSnapshot(
      { requests: new Map([[node, request]]), jobs: jobs(count) },
      limits,
    );
    const changes = pages.map((value, page) => ({ key: `p/${page}`, value, revision: REVISION }));
    const { store, writes } = storeWith(() => (omitPage ? changes.slice(1) : changes));
    const reader = new ProgressReader(
      { batchStore: store, log, settings: { node } as never },
      'life-2',
    );
    return { reader, writes, pageCount: pages.length };
  };
  const statusOf = async (reader: ProgressReader, id: string) =>
    (await reader.find(id as JobId))?.progress.status ?? null;

  it('takes a snapshot in pages that answers its request', async () => {
    const { reader, writes, pageCount } = readerOf('life-2', 1, 12);
    expect(pageCount).toBe(2);
    expect(await statusOf(reader, 'job-0')).toBe('running');
    expect(await statusOf(reader, 'job-11')).toBe('running');
    expect(await statusOf(reader, 'job-1')).toBeNull();
    expect(await statusOf(reader, 'job-99')).toBe('queued');
    expect(writes).toEqual([{ put: 'q/node-1', value: { life: 'life-2', n: 1 } }]);
  });

  it('does not say that a job is queued by a snapshot without room for all jobs', async () => {
    const { reader } = readerOf('life-2', 1, 80);
    expect(await statusOf(reader, 'job-0')).toBe('running');
    expect(await statusOf(reader, 'job-79')).toBeNull();
  });

  it.each([
    ['an answer to an earlier process of its node', 'life-1', 1, false],
    ['an answer to another request', 'life-2', 7, false],
    ['a snapshot of which a page is missing', 'life-2', 1, true],
  ])('ignores %s', async (_name, life, n, omitPage) => {
    const { reader } = readerOf(life, n, 12, omitPage);
    expect(await statusOf(reader, 'job-0')).toBeNull();
  });
});

describe('the jobs that the ledger names', () => {
  const segmentOf = (id: string) =>
    encodeSegment({
      machines: [
        {
          machine: 'n-1' as never,
          attributes: recordedAttributes,
          entries: [ledgerEntry(0, 1, id)],
        },
      ],
      progress: [],
    });

  it('include what changed while the ledger was read, and what a readable record names', async () => {
    const changed = { key: 'l/7/2', value: segmentOf('job-2'), revision: REVISION };
    const { store } = storeWith(
      () => [changed],
      () => [{ key: 'l/7/1', value: segmentOf('job-1'), revision: REVISION }],
    );
    const placed = new PlacedJobs({ batchStore: store });
    expect((await placed.find('job-1' as JobId))?.isNamed).toBe(true);
    expect((await placed.find('job-2' as JobId))?.isNamed).toBe(true);
    expect((await placed.find('job-3' as JobId))?.isNamed).toBe(false);
  });

  it('are not known while a record is unreadable, or the store does not answer', async () => {
    const odd = storeWith(
      () => [],
      () => [{ key: 'l/7/1', value: { odd: true }, revision: REVISION }],
    );
    expect(await new PlacedJobs({ batchStore: odd.store }).find('job-1' as JobId)).toBeNull();
    const silent = { ...odd.store, watch: async () => ({ kind: 'refused' as const }) };
    expect(await new PlacedJobs({ batchStore: silent }).find('job-1' as JobId)).toBeNull();
  });
});

describe('a job that ends while the ledger is read', () => {
  // Guards against: a job called queued since the ledger, read after its record, no longer names it.
  it('is reported as ended, though its record was read before', async () => {
    const { store } = storeWith(() => []);
    const completion = encodeCompletion({ outcome: 'done', tasks: 1, team: 'blue' as TeamName });
    let isRecordRead = false;
    const get = async (key: string): Promise<GetResult> => {
      const value = key.startsWith('f/') ? completion : { odd: true };
      if (key.startsWith('j/') && isRecordRead) return { kind: 'absent' };
      isRecordRead = true;
      return { kind: 'found', item: { key, value, revision: REVISION } };
    };
    const dependencies = {
      store: { ...store, get },
      batchStore: store,
      log,
      peers: new Map(),
      settings: { maxClockOffsetMs: 0 },
      workers: {},
    } as unknown as Dependencies;
    const peerMonitor = { leaderPeer: () => null } as unknown as PeerMonitor;
    const jobs = new JobService(dependencies, peerMonitor, () => null, 'life-1');
    expect(await jobs.lookUp(RUNNING as JobId)).toMatchObject({
      kind: 'found',
      job: { status: 'done' },
    });
  });
});

describe('an inspector of workers', () => {
  const reported = (sequence: number, phase: 'running' | 'ended') =>
    heartbeatOf('n-1', sequence, 7, [taskStatus(RUNNING, 0, 1, phase)]);
  const inspectorOf = (answer: Heartbeat | null) => {
    const inspect = vi.fn(async () => answer);
    return { inspect, inspector: new WorkerInspector({ workers: { inspect } as never }) };
  };
  const count = (inspector: WorkerInspector) => inspector.countRunning(RUNNING as JobId);

  it('asks the worker of a heartbeat whether it still runs the job, once for several questions', async () => {
    const { inspect, inspector } = inspectorOf(reported(5, 'running'));
    expect(await count(inspector)).toBe(0);
    inspector.recordHint(reported(1, 'running'));
    expect(await Promise.all([count(inspector), count(inspector)])).toEqual([1, 1]);
    expect(inspect).toHaveBeenCalledTimes(1);
  });

  it.each([
    ['a late heartbeat of a task that has ended', reported(5, 'ended')],
    ['a worker that does not answer', null],
    ['another machine at the endpoint', { ...reported(5, 'running'), machine: 'n-2' as MachineId }],
  ])('does not take %s for a running task', async (_name, answer) => {
    const { inspect, inspector } = inspectorOf(answer);
    inspector.recordHint(reported(1, 'running'));
    expect(await count(inspector)).toBe(0);
    expect(inspect).toHaveBeenCalledTimes(1);
  });

  it('ignores a heartbeat that is older than one before it', async () => {
    const { inspect, inspector } = inspectorOf(reported(5, 'running'));
    inspector.recordHint(reported(2, 'ended'));
    inspector.recordHint(reported(1, 'running'));
    expect(await count(inspector)).toBe(0);
    expect(inspect).not.toHaveBeenCalled();
  });
});
