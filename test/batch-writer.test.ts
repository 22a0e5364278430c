/** BatchWriter against a stand-in for the key-value store that loses requests and responses. */
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

describe('BatchWriter', () => {
  const RATES = { rps: 1000, writeRps: 1000 };
  const setUp = async () => {
    const store = new KeyValueStoreServer();
    cleanups.push(() => store.close());
    const address = await store.listen();
    const [host, port] = address.split(':');
    const client = new KeyValueStoreClient(
      { host: host!, port: Number(port) },
      { ...RATES, lowered: RATES },
    );
    cleanups.push(() => client.close());
    store.commit({ Apply: [{ Write: 'leader', Data: {} }] });
    const fencingToken = store.revision as FencingToken;
    const writer = new BatchWriter({ store: client, fencingToken, log, jitter: new Jitter(3) });
    return { store, writer };
  };
  const keyOf = (n: number) => segmentKey(7 as FencingToken, n);
  const segment = (n: number, bits = n): StoreOperation => ({
    kind: 'write-segment',
    key: keyOf(n),
    machines: [],
    progress: [{ job: 'job-1' as JobId, firstTask: 0, bits: Uint8Array.of(bits) }],
  });

  it('detects by reading back that an unanswered transaction was executed', async () => {
    const { store, writer } = await setUp();
    store.answersToLose = 1;
    expect(await writer.storeBatch([segment(1)])).toEqual(STORED);
    expect(store.transactionCount).toBe(1);
    const deletion: StoreOperation = { kind: 'delete-segment', key: keyOf(1) };
    expect(await writer.storeBatch([segment(3), deletion])).toEqual(STORED);
    expect(store.keys.get(keyOf(3))?.value).toMatchObject({ d: [['job-1', 0, 'Aw==']] });
    expect(store.keys.has(keyOf(1))).toBe(false);
  });

  it('retries a transaction that was not executed', async () => {
    const { store, writer } = await setUp();
    store.requestsToDrop = 2;
    expect(await writer.storeBatch([segment(1)])).toEqual(STORED);
    expect(store.transactionCount).toBe(3);
  });

  it('reports lost leadership once another node leads, and writes nothing', async () => {
    const { store, writer } = await setUp();
    store.commit({ Apply: [{ Write: 'leader', Data: { node: 'other' } }] });
    const deletion: StoreOperation = { kind: 'delete-segment', key: keyOf(9) };
    expect(await writer.storeBatch([segment(1), deletion])).toEqual({ kind: 'leadership-lost' });
    expect(store.keys.has(keyOf(1))).toBe(false);
  });

  it('guards each key by its revision, so that a late copy of a write fails', async () => {
    const { store, writer } = await setUp();
    await writer.storeBatch([segment(1)]);
    const lateCopy = {
      Guards: [{ Path: keyOf(1), Stamp: 0 as Revision }],
      Apply: [{ Write: keyOf(1), Data: 'old' }],
    };
    await writer.storeBatch([segment(3)]);
    expect(store.commit(lateCopy).status).toBe(409);
  });
});
