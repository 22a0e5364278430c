/** Limits of the key-value store that fall: as the settings announce, and without notice. */
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
  machineType,
  recordedAttributes,
  taskStatus,
  team,
} from './support/builders.js';

const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const clean of cleanups.splice(0).reverse()) clean();
});

describe('parseSettings', () => {
  const params = (state: object) => {
    const base = JSON.parse(settingsText()) as { params: { state: object } };
    return settingsText({ params: { ...base.params, state: { ...base.params.state, ...state } } });
  };

  it('takes the lower of the current and announced size limits, and keeps both rate limits', () => {
    const current = { rps: 150, write_rps: 40, value_kb: 8, txn_ops: 32 };
    const limits = (next?: object) =>
      parseSettings(params({ ...current, next })).keyValueStoreLimits;
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
    ['text for a number', { write_rps: 'few' }, /state\.next\.write_rps/],
    ['zero for a size', { value_kb: 0 }, /state\.next\.value_kb/],
    ['a fraction for a count', { txn_ops: 1.5 }, /state\.next\.txn_ops/],
    ['a number for the object', 7, /state\.next/],
  ])('rejects announced limits with %s, and names the field', (_, next, message) => {
    expect(() => parseSettings(params({ next }))).toThrow(SettingsError);
    expect(() => parseSettings(params({ next }))).toThrow(message);
  });
});

/** Runs a leader; stores its batches in `segmentTexts` and ignores all other effects. */
const runLeader = (
  state: CoreState,
  segmentTexts: Map<SegmentKey, string>,
  commands: Command[],
  now: number,
): void => {
  for (const effect of applyCommands(state, commands, now as Instant, 'lead')) {
    if (effect.kind !== 'store-batch') continue;
    for (const op of effect.operations) {
      if (op.kind === 'write-segment') segmentTexts.set(op.key, JSON.stringify(encodeSegment(op)));
      if (op.kind === 'delete-segment') segmentTexts.delete(op.key);
    }
    runLeader(state, segmentTexts, [{ kind: 'batch-stored', batch: effect.batch }], now);
  }
};

describe('the stored progress of the largest job', () => {
  it.each([
    [2048, 3],
    [1024, 3],
    [500, 1],
  ])(
    'fits values of %i bytes and batches of %i mutations, and new leaders recover all of it',
    (bytes, txnOps) => {
      const limitedConfig = {
        maxValueBytes: bytes,
        maxTransactionOperations: txnOps,
        teams: new Map([['blue' as TeamName, team('blue', 1e6)]]),
      };
      const spec = job('job-1', { tasks: 100_000 });
      const submission: Command = { kind: 'job', spec, submittedAt: 0 as Instant };
      const state = core(limitedConfig);
      const segmentTexts = new Map<SegmentKey, string>();
      runLeader(
        state,
        segmentTexts,
        [
          { kind: 'machine-types', types: [machineType('c8')] },
          submission,
          { kind: 'recovery-completed' },
        ],
        0,
      );
      const doneIndexes = Array.from({ length: 300 }, (_, i) => (i * 331) % 100_000);
      let now = 0;
      for (const [i, index] of doneIndexes.entries()) {
        const ended = [taskStatus('job-1', index, i + 1, 'ended', 'done')];
        now += 200;
        runLeader(
          state,
          segmentTexts,
          [{ kind: 'heartbeat', heartbeat: heartbeatOf(`n-${i}`, 1, 7, ended), ticket: null }],
          now,
        );
      }
      for (const end = now + 50_000; now < end; now += 250)
        runLeader(state, segmentTexts, [{ kind: 'tick' }], now);
      for (const text of segmentTexts.values()) expect(text.length).toBeLessThanOrEqual(bytes);
      // Leaders with the same limits, larger ones and the same again: each recovers the segments
      // that its predecessor compacted.
      for (const [i, limits] of [
        {},
        { maxValueBytes: 8192, maxTransactionOperations: 16 },
        {},
      ].entries()) {
        const nextState = core({
          ...limitedConfig,
          ...limits,
          fencingToken: (8 + i) as FencingToken,
        });
        const recoveryCommands: Command[] = [submission];
        for (const [segment, text] of segmentTexts) {
          const record = decodeSegment(JSON.parse(text))!;
          for (const row of record.progress)
            recoveryCommands.push({ kind: 'recovered-progress', segment, ...row });
        }
        runLeader(
          nextState,
          segmentTexts,
          [...recoveryCommands, { kind: 'recovery-completed' }],
          0,
        );
        expect(nextState.jobs.get(spec.id)?.doneCount).toBe(doneIndexes.length);
        for (let now = 250; now < 10_000; now += 250)
          runLeader(nextState, segmentTexts, [{ kind: 'tick' }], now);
      }
    },
  );
});

describe('a store batch', () => {
  it.each([
    [4, 4],
    [20, 10],
    [1000, 32],
  ])(
    'holds at most half a second of mutations, with a floor of four (%i a second: %i)',
    (writeRps, most) => {
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
        heartbeat: heartbeatOf(`n-${n}`, 1, 7, [taskStatus(`job-${n}`, 0, n)]),
        ticket: null,
      });
      run(
        { kind: 'recovery-completed' },
        ...Array.from({ length: 100 }, (_, n) => unknownTaskOn(n)),
      );
      expect(Math.max(...sizes)).toBe(most);
    },
  );
});

describe('a leader whose batch is rejected as too large', () => {
  const log = pino({ level: 'silent' });
  const ALL_STORED = { kind: 'stored', refused: [] };
  const setUp = async () => {
    const store = new KeyValueStoreServer();
    cleanups.push(() => store.close());
    const [host, port] = (await store.listen()).split(':');
    const rates = { rps: 1000, writeRps: 1000 };
    const client = new KeyValueStoreClient(
      { host: host!, port: Number(port) },
      { ...rates, lowered: rates },
    );
    cleanups.push(() => client.close());
    store.commit({ Apply: [{ Write: 'leader', Data: {} }] });
    const fencingToken = store.revision as FencingToken;
    const writer = new BatchWriter({ store: client, fencingToken, log, jitter: new Jitter(3) });
    return { store, writer };
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
  const storedContents = (store: KeyValueStoreServer) => {
    const attempts: number[] = [];
    let progress = 0;
    for (const [k, { value: data }] of store.keys) {
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
    'splits it to fit (%s), stores all of it, repeats no rejected part, and deletes all parts',
    async (_, limits) => {
      const { store, writer } = await setUp();
      Object.assign(store.limits, limits);
      const ops = [1, 2, 3, 4].map((n) => segment(n, 12));
      expect(await writer.storeBatch(ops)).toEqual(ALL_STORED);
      const expected = ops.flatMap((op) =>
        op.machines.flatMap((machine) => machine.entries.map((e) => e.attempt as number)),
      );
      expect(storedContents(store)).toEqual({
        attempts: expected.sort((a, b) => a - b),
        progress: 4,
      });
      expect(store.rejectedTransactions.length).toBeGreaterThan(0);
      expect(new Set(store.rejectedTransactions).size).toBe(store.rejectedTransactions.length);
      const deletions = ops.map(({ key }): StoreOperation => ({ kind: 'delete-segment', key }));
      expect(await writer.storeBatch([segment(9, 1), ...deletions])).toEqual(ALL_STORED);
      expect(storedContents(store).attempts).toEqual([9000, 9100, 9200]);
    },
  );

  it('stores the other operations when one is rejected even alone', async () => {
    const { store, writer } = await setUp();
    store.limits.txnOps = 1;
    // A job completion takes two mutations in one transaction.
    const completion: StoreOperation = {
      kind: 'job-completion',
      job: 'job-5' as JobId,
      outcome: 'done',
      tasks: 3,
      team: 'blue' as TeamName,
    };
    const result = await writer.storeBatch([completion, segment(1, 2)]);
    expect(result).toEqual({ kind: 'stored', refused: [completion] });
    expect(storedContents(store).attempts).toHaveLength(6);
    expect(store.keys.has('f/job-5')).toBe(false);
  });

  it('starts no task whose ledger entry was rejected, and retries later', () => {
    const state = core();
    const startTimes: number[] = [];
    let refusals = 0;
    const send = (now: number, ...commands: Command[]): void => {
      for (const effect of applyCommands(state, commands, now as Instant, 'lead')) {
        if (effect.kind === 'reply-to-heartbeat')
          for (const command of effect.commands ?? [])
            if (command.op === 'start') startTimes.push(now);
        if (effect.kind !== 'store-batch') continue;
        const refused = now < 20_000 ? effect.operations : [];
        refusals += refused.length;
        send(now, { kind: 'batch-stored', batch: effect.batch, refused });
      }
    };
    send(0, { kind: 'machine-types', types: [machineType('c8')] }, { kind: 'recovery-completed' });
    send(0, { kind: 'job', spec: job('job-1'), submittedAt: 0 as Instant });
    for (let now = 1000, seq = 1; now < 60_000; now += 1000, seq += 1) {
      send(now, {
        kind: 'heartbeat',
        heartbeat: heartbeatOf('n-1', seq, 7),
        ticket: seq as ReplyTicket,
      });
    }
    expect(refusals).toBe(1);
    expect(startTimes.length).toBeGreaterThan(0);
    expect(Math.min(...startTimes)).toBeGreaterThan(20_000);
  });
});
