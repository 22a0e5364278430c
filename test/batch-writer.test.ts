/** The batch writer against a stand-in of the key-value store that loses requests and answers. */
import { afterEach, describe, expect, it } from 'vitest';
import { KeyValueStoreClient } from '../src/adapters/key-value-store/key-value-store-client.js';
import { Jitter } from '../src/adapters/runtime/random.js';
import { segmentKey } from '../src/core/ledger/segments.js';
import type { FencingToken, JobId, Revision } from '../src/core/model/ids.js';
import type { StoreOperation } from '../src/core/model/ledger-record.js';
import { BatchWriter } from '../src/service/batch-writer.js';
import { cleanUp, cleanups, log } from './stand-ins/cluster.js';
import { KeyValueStoreServer } from './stand-ins/key-value-store.js';

afterEach(cleanUp);

const STORED = { kind: 'stored', refused: [] };

describe('the batch writer', () => {
  const RATES = { rps: 1000, writeRps: 1000 };
  const setUp = async () => {
    const state = new KeyValueStoreServer();
    cleanups.push(() => state.close());
    const at = await state.listen();
    const [host, port] = at.split(':');
    const client = new KeyValueStoreClient(
      { host: host!, port: Number(port) },
      { ...RATES, lowered: RATES },
    );
    cleanups.push(() => client.close());
    state.commit({ Apply: [{ Write: 'leader', Data: {} }] });
    const fencingToken = state.revision as FencingToken;
    const writer = new BatchWriter({ store: client, fencingToken, log, jitter: new Jitter(3) });
    return { state, writer };
  };
  const key = (n: number) => segmentKey(7 as FencingToken, n);
  const segment = (n: number, bits = n): StoreOperation => ({
    kind: 'write-segment',
    key: key(n),
    machines: [],
    progress: [{ job: 'job-1' as JobId, firstTask: 0, bits: Uint8Array.of(bits) }],
  });

  it('finds out by reading back that an unanswered transaction was executed', async () => {
    const { state, writer } = await setUp();
    state.answersToLose = 1;
    expect(await writer.storeBatch([segment(1)])).toEqual(STORED);
    expect(state.transactions).toBe(1);
    const dropped: StoreOperation = { kind: 'delete-segment', key: key(1) };
    expect(await writer.storeBatch([segment(3), dropped])).toEqual(STORED);
    expect(state.keys.get(key(3))?.value).toMatchObject({ d: [['job-1', 0, 'Aw==']] });
    expect(state.keys.has(key(1))).toBe(false);
  });

  it('retries what was not executed', async () => {
    const { state, writer } = await setUp();
    state.requestsToDrop = 2;
    expect(await writer.storeBatch([segment(1)])).toEqual(STORED);
    expect(state.transactions).toBe(3);
  });

  it('gives up once another node leads, and changes nothing', async () => {
    const { state, writer } = await setUp();
    state.commit({ Apply: [{ Write: 'leader', Data: { node: 'other' } }] });
    const gone: StoreOperation = { kind: 'delete-segment', key: key(9) };
    expect(await writer.storeBatch([segment(1), gone])).toEqual({ kind: 'leadership-lost' });
    expect(state.keys.has(key(1))).toBe(false);
  });

  it('guards each key by its revision, so that a late copy of an older write fails', async () => {
    const { state, writer } = await setUp();
    await writer.storeBatch([segment(1)]);
    const late = {
      Guards: [{ Path: key(1), Stamp: 0 as Revision }],
      Apply: [{ Write: key(1), Data: 'old' }],
    };
    await writer.storeBatch([segment(3)]);
    expect(state.commit(late).status).toBe(409);
  });
});
