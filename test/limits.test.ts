/** Limits of the key-value store: announced by the settings, and fallen below them. */
import pino from 'pino';
import { afterEach, describe, expect, it } from 'vitest';
import { SettingsError } from '../src/adapters/configuration/configuration-file.js';
import { parseSettings } from '../src/adapters/configuration/settings.js';
import { KeyValueStoreClient } from '../src/adapters/key-value-store/key-value-store-client.js';
import { Jitter } from '../src/adapters/runtime/random.js';
import { applyCommands } from '../src/core/apply-commands.js';
import type { CoreState } from '../src/core/core-state.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type { Command } from '../src/core/model/command.js';
import type {
  FencingToken,
  JobId,
  MachineId,
  ReplyTicket,
  SegmentKey,
  TeamName,
} from '../src/core/model/ids.js';
import type { StoreOperation } from '../src/core/model/ledger-record.js';
import type { Instant } from '../src/core/model/time.js';
import { BatchWriter } from '../src/service/batch-writer.js';
import { decodeSegment, encodeSegment } from '../src/service/stored-records.js';
import { KeyValueStoreServer } from './stand-ins/key-value-store.js';
import { settingsText } from './stand-ins/settings.js';
import {
  core,
  heartbeatOf,
  job,
  ledgerEntry,
  recordedAttributes,
  task,
  team,
  type,
} from './support/builders.js';

const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const clean of cleanups.splice(0).reverse()) clean();
});

describe('the settings of the key-value store', () => {
  const params = (state: object) => {
    const base = JSON.parse(settingsText()) as { params: { state: object } };
    return settingsText({ params: { ...base.params, state: { ...base.params.state, ...state } } });
  };

  it('bound sizes by the smaller of the present and the announced limit, and keep both rates', () => {
    const now = { rps: 150, write_rps: 40, value_kb: 8, txn_ops: 32 };
    const limits = (next?: object) => parseSettings(params({ ...now, next })).keyValueStoreLimits;
    expect(limits({ value_kb: 2, txn_ops: 10, write_rps: 28 })).toEqual({
      rps: 150,
      nextRps: 150,
      writeRps: 40,
      nextWriteRps: 28,
      maxValueBytes: 2048,
      maxTransactionOperations: 10,
    });
    expect(limits({ value_kb: 99, txn_ops: 99, write_rps: 99, rps: 999 })).toEqual(limits());
    expect(limits({ rps: 50 }).nextRps).toBe(50);
  });

  it.each([
    ['no number', { write_rps: 'few' }, /state\.next\.write_rps/],
    ['zero', { value_kb: 0 }, /state\.next\.value_kb/],
    ['half a change', { txn_ops: 1.5 }, /state\.next\.txn_ops/],
    ['no object', 7, /state\.next/],
  ])('are refused by name for %s', (_, next, message) => {
    expect(() => parseSettings(params({ next }))).toThrow(SettingsError);
    expect(() => parseSettings(params({ next }))).toThrow(message);
  });
});

/** Runs a leader whose batches go to `store`; no other effect is answered. */
const drive = (
  state: CoreState,
  store: Map<SegmentKey, string>,
  commands: Command[],
  now: number,
): void => {
  for (const effect of applyCommands(state, commands, now as Instant, 'lead')) {
    if (effect.kind !== 'store-batch') continue;
    for (const op of effect.operations) {
      if (op.kind === 'write-segment') store.set(op.key, JSON.stringify(encodeSegment(op)));
      if (op.kind === 'delete-segment') store.delete(op.key);
    }
    drive(state, store, [{ kind: 'batch-stored', batch: effect.batch }], now);
  }
};

describe('progress of the largest job', () => {
  it.each([
    [2048, 3],
    [1024, 3],
    [500, 1],
  ])(
    'fits values of %i bytes, %i mutations at a time, and a new leader recovers all of it',
    (bytes, txnOps) => {
      const small = {
        maxValueBytes: bytes,
        maxTransactionOperations: txnOps,
        teams: new Map([['blue' as TeamName, team('blue', 1e6)]]),
      };
      const spec = job('job-1', { tasks: 100_000 });
      const add: Command = { kind: 'job', spec, submittedAt: 0 as Instant };
      const state = core(small);
      const store = new Map<SegmentKey, string>();
      drive(
        state,
        store,
        [{ kind: 'machine-types', types: [type('c8')] }, add, { kind: 'recovery-completed' }],
        0,
      );
      const done = Array.from({ length: 300 }, (_, i) => (i * 331) % 100_000);
      let now = 0;
      for (const [i, index] of done.entries()) {
        const ended = [task('job-1', index, i + 1, 'ended', 'done')];
        now += 200;
        drive(
          state,
          store,
          [{ kind: 'heartbeat', heartbeat: heartbeatOf(`n-${i}`, 1, 7, ended), ticket: null }],
          now,
        );
      }
      for (const end = now + 50_000; now < end; now += 250)
        drive(state, store, [{ kind: 'tick' }], now);
      for (const text of store.values()) expect(text.length).toBeLessThanOrEqual(bytes);
      // Leaders of the same limits, of larger ones and of the same again: each recovers what the
      // former one has compacted.
      for (const [i, limits] of [
        {},
        { maxValueBytes: 8192, maxTransactionOperations: 16 },
        {},
      ].entries()) {
        const next = core({ ...small, ...limits, fencingToken: (8 + i) as FencingToken });
        const read: Command[] = [add];
        for (const [segment, text] of store) {
          const record = decodeSegment(JSON.parse(text))!;
          for (const row of record.progress)
            read.push({ kind: 'recovered-progress', segment, ...row });
        }
        drive(next, store, [...read, { kind: 'recovery-completed' }], 0);
        expect(next.jobs.get(spec.id)?.doneCount).toBe(done.length);
        for (let now = 250; now < 10_000; now += 250) drive(next, store, [{ kind: 'tick' }], now);
      }
    },
  );
});

describe('a batch', () => {
  it.each([
    [4, 4],
    [20, 10],
    [1000, 32],
  ])('holds no more than half a second’s mutations (at %i a second: %i)', (writeRps, most) => {
    const state = core({
      storeWritesPerSecond: writeRps,
      maxTransactionOperations: 32,
      maxValueBytes: 300,
    });
    const sizes: number[] = [];
    const run = (...commands: Command[]): void => {
      for (const effect of applyCommands(state, commands, 0 as Instant, 'lead')) {
        if (effect.kind !== 'store-batch') continue;
        sizes.push(effect.operations.length);
        run({ kind: 'batch-stored', batch: effect.batch });
      }
    };
    const unknownTaskOn = (n: number): Command => ({
      kind: 'heartbeat',
      heartbeat: heartbeatOf(`n-${n}`, 1, 7, [task(`job-${n}`, 0, n)]),
      ticket: null,
    });
    run({ kind: 'recovery-completed' }, ...Array.from({ length: 100 }, (_, n) => unknownTaskOn(n)));
    expect(Math.max(...sizes)).toBe(most);
  });
});

describe('a leader whose batch is refused as too large', () => {
  const log = pino({ level: 'silent' });
  const STORED = { kind: 'stored', refused: [] };
  const setUp = async () => {
    const state = new KeyValueStoreServer();
    cleanups.push(() => state.close());
    const [host, port] = (await state.listen()).split(':');
    const rates = { rps: 1000, writeRps: 1000 };
    const client = new KeyValueStoreClient(
      { host: host!, port: Number(port) },
      { ...rates, lowered: rates },
    );
    cleanups.push(() => client.close());
    state.commit({ Apply: [{ Write: 'leader', Data: {} }] });
    const fencingToken = state.revision as FencingToken;
    const writer = new BatchWriter({ store: client, fencingToken, log, jitter: new Jitter(3) });
    return { state, writer };
  };
  const key = (n: number) => segmentKey(7 as FencingToken, n);
  const segment = (
    n: number,
    entries: number,
  ): Extract<StoreOperation, { kind: 'write-segment' }> => ({
    kind: 'write-segment',
    key: key(n),
    machines: Array.from({ length: 3 }, (_, m) => ({
      machine: `n-${m}` as MachineId,
      attributes: recordedAttributes,
      entries: Array.from({ length: entries }, (_, i) => ledgerEntry(i, n * 1000 + m * 100 + i)),
    })),
    progress: [{ job: 'job-2' as JobId, firstTask: 0, bits: Uint8Array.of(n) }],
  });
  const stored = (state: KeyValueStoreServer) => {
    const attempts: number[] = [];
    let progress = 0;
    for (const [k, { value: data }] of state.keys) {
      if (!k.startsWith('l/')) continue;
      const record = decodeSegment(JSON.parse(JSON.stringify(data)))!;
      for (const { entries } of record.machines) attempts.push(...entries.map((e) => e.attempt));
      progress += record.progress.length;
    }
    return { attempts: attempts.sort((a, b) => a - b), progress };
  };

  it.each([
    ['fewer mutations', { txnOps: 2 }],
    ['smaller values', { valueBytes: 300 }],
    ['both', { txnOps: 2, valueBytes: 300 }],
  ])(
    'splits it until it fits (%s), loses nothing, resends nothing unchanged, and deletes all pieces',
    async (_, limits) => {
      const { state, writer } = await setUp();
      Object.assign(state.limits, limits);
      const ops = [1, 2, 3, 4].map((n) => segment(n, 12));
      expect(await writer.storeBatch(ops)).toEqual(STORED);
      const wanted = ops.flatMap((op) =>
        op.machines.flatMap((machine) => machine.entries.map((e) => e.attempt as number)),
      );
      expect(stored(state)).toEqual({ attempts: wanted.sort((a, b) => a - b), progress: 4 });
      expect(state.refused.length).toBeGreaterThan(0);
      expect(new Set(state.refused).size).toBe(state.refused.length);
      const gone = ops.map(({ key }): StoreOperation => ({ kind: 'delete-segment', key }));
      expect(await writer.storeBatch([segment(9, 1), ...gone])).toEqual(STORED);
      expect(stored(state).attempts).toEqual([9000, 9100, 9200]);
    },
  );

  it('stores all the rest when an operation is refused in any size', async () => {
    const { state, writer } = await setUp();
    state.limits.txnOps = 1;
    // A completion is two mutations or none.
    const completion: StoreOperation = {
      kind: 'job-completion',
      job: 'job-5' as JobId,
      outcome: 'done',
      tasks: 3,
      team: 'blue' as TeamName,
    };
    const result = await writer.storeBatch([completion, segment(1, 2)]);
    expect(result).toEqual({ kind: 'stored', refused: [completion] });
    expect(stored(state).attempts).toHaveLength(6);
    expect(state.keys.has('f/job-5')).toBe(false);
  });

  it('does not start what could not be entered in the ledger, and retries it later', () => {
    const state = core();
    const sent: number[] = [];
    let refusals = 0;
    const send = (now: number, ...commands: Command[]): void => {
      for (const effect of applyCommands(state, commands, now as Instant, 'lead')) {
        if (effect.kind === 'reply-to-heartbeat')
          for (const command of effect.commands ?? []) if (command.op === 'start') sent.push(now);
        if (effect.kind !== 'store-batch') continue;
        const refused = now < 20_000 ? effect.operations : [];
        refusals += refused.length;
        send(now, { kind: 'batch-stored', batch: effect.batch, refused });
      }
    };
    send(0, { kind: 'machine-types', types: [type('c8')] }, { kind: 'recovery-completed' });
    send(0, { kind: 'job', spec: job('job-1'), submittedAt: 0 as Instant });
    for (let now = 1000, seq = 1; now < 60_000; now += 1000, seq += 1) {
      send(now, {
        kind: 'heartbeat',
        heartbeat: heartbeatOf('n-1', seq, 7),
        ticket: seq as ReplyTicket,
      });
    }
    expect(refusals).toBe(1);
    expect(sent.length).toBeGreaterThan(0);
    expect(Math.min(...sent)).toBeGreaterThan(20_000);
  });
});
