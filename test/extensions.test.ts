/** The extension host: an idle extension changes no decision, and a faulty one stops nothing. */
import { describe, expect, it } from 'vitest';
import { drainModule } from '../packages/drain/src/index.js';
import { settingsOf } from '../packages/drain/test/support/settings.js';
import type { Jitter } from '../src/adapters/runtime/random.js';
import type {
  Extension,
  ExtensionRequest,
  OperatorAnswer,
} from '../src/core/extensions/extension.js';
import { ExtensionHost } from '../src/core/extensions/extension-host.js';
import type { Effect } from '../src/core/model/effect.js';
import type { FencingToken, MachineId, ReplyTicket, Revision } from '../src/core/model/ids.js';
import type { StoreOperation } from '../src/core/model/ledger-record.js';
import type { KeyValueStore } from '../src/ports/key-value-store.js';
import { BatchWriter } from '../src/service/batch-writer.js';
import { log } from './stand-ins/cluster.js';
import { core } from './support/builders.js';
import { CoreDriver, ended, running } from './support/core-driver.js';

/** A no-op extension, apart from the methods that a test overrides. */
const stubExtension = (change: Partial<Extension>): Extension => ({
  name: 'probe',
  load: () => {},
  observe: () => {},
  decide: () => [],
  call: () => null,
  mayScaleIn: () => true,
  mayEvictReplica: () => true,
  ...change,
});

const driverWith = (...extensions: Extension[]): CoreDriver => {
  const state = core();
  state.extensions = new ExtensionHost(state, extensions);
  return new CoreDriver(state);
};

/** Runs tasks, some failing, on two machines, with a reclaim notice; returns all effects. */
const runScenario = (driver: CoreDriver): Effect[] => {
  for (const id of ['n-1', 'n-2']) driver.bringUp(id);
  driver.submit('job-1', { tasks: 6, cpus: 2 });
  driver.submit('job-2', { shape: 'service', tasks: 2, priority: 'critical', allowsSpot: false });
  for (let i = 0; i < 12; i += 1) {
    for (const id of ['n-1', 'n-2']) {
      const starts = driver.startsIn(driver.sendHeartbeat(id));
      driver.sendHeartbeat(
        id,
        starts.map(running),
        i === 9 && id === 'n-1' ? { reclaimNoticeS: 20 } : {},
      );
      const done = starts.map((command) =>
        ended(command, command.job === 'job-2' ? null : i === 3 ? 'error' : 'done'),
      );
      driver.sendHeartbeat(id, done);
    }
    driver.advance(3000);
  }
  driver.advance(400_000);
  return driver.effects;
};

describe('the core without an extension', () => {
  it('decides as with an idle one, which adds no effects but its record batches', () => {
    const driverWithout = new CoreDriver();
    const driverWithIdle = new CoreDriver(core());
    driverWithIdle.state.extensions = new ExtensionHost(driverWithIdle.state, [
      drainModule(settingsOf('(drain (budgets (default (at-once 100))))')).create(),
    ]);
    const effectsWithout = runScenario(driverWithout);
    const effectsWithIdle = runScenario(driverWithIdle);
    const recordBatches = effectsWithIdle.filter(
      (effect) =>
        effect.kind === 'store-batch' &&
        effect.operations.some((op) => op.kind === 'write-extension-records'),
    );
    expect(effectsWithout.length).toBeGreaterThan(100);
    expect(effectsWithout.some((effect) => effect.kind === 'delete-machines')).toBe(true);
    expect(effectsWithout.some((effect) => effect.kind === 'provision')).toBe(true);
    // The drain package records only involuntary disruptions.
    const comparable = (effects: readonly Effect[]) =>
      effects
        .filter(
          (effect) =>
            effect.kind === 'provision' ||
            effect.kind === 'delete-machines' ||
            effect.kind === 'send-commands' ||
            effect.kind === 'reply-to-heartbeat',
        )
        .map((effect) => JSON.stringify(effect));
    expect(comparable(effectsWithIdle)).toEqual(comparable(effectsWithout));
    expect(effectsWithIdle.length - effectsWithout.length).toBeLessThanOrEqual(
      2 * recordBatches.length,
    );
  });

  it('holds no extension host, so that no hook runs', () => {
    const driver = new CoreDriver();
    runScenario(driver);
    expect(driver.state.extensions).toBeNull();
  });
});

describe('an extension that throws', () => {
  it('is logged and skipped for one step; placement continues, and the next step calls it', () => {
    let decideCalls = 0;
    const driver = driverWith(
      stubExtension({
        decide: () => {
          decideCalls += 1;
          throw new Error('broken');
        },
        observe: () => {
          throw new Error('broken too');
        },
      }),
    );
    driver.submit('job-1');
    const starts = driver.startsIn(driver.bringUp('n-1'));
    expect(starts).toHaveLength(1);
    driver.sendHeartbeat('n-1', starts.map(running));
    driver.sendHeartbeat(
      'n-1',
      starts.map((command) => ended(command, 'done')),
    );
    expect(driver.effects.some((effect) => effect.kind === 'job-ended')).toBe(true);
    expect(decideCalls).toBeGreaterThan(3);
    const failureLogs = driver.effects.filter(
      (effect) => effect.kind === 'log' && effect.text.startsWith('extension failed'),
    );
    expect(failureLogs.length).toBeGreaterThan(3);
  });

  it('gives no consent to evictions: replicas on a draining machine stay', () => {
    const driver = driverWith(
      stubExtension({
        mayEvictReplica: () => {
          throw new Error('broken');
        },
      }),
    );
    for (const id of ['n-1', 'n-2']) driver.bringUp(id);
    driver.submit('job-1', { shape: 'service', priority: 'critical' });
    const holderId = ['n-1', 'n-2'].find((id) => {
      const starts = driver.startsIn(driver.sendHeartbeat(id));
      if (starts.length > 0) driver.sendHeartbeat(id, starts.map(running));
      return starts.length > 0;
    })!;
    const machine = driver.state.machines.get(holderId as MachineId)!;
    machine.isDraining = true;
    const replica = [...machine.placements.values()][0]!;
    driver.advance(4000);
    expect(replica.stopRequest).toBeNull();
  });

  it('answers an operator call with 503', () => {
    const driver = driverWith(
      stubExtension({
        call: () => {
          throw new Error('broken');
        },
      }),
    );
    const call = { route: 'any', subject: '', body: {} };
    driver.send({ kind: 'operator-call', extension: 'probe', call, ticket: 5 as ReplyTicket });
    const answers = driver.effects.flatMap((effect): OperatorAnswer[] =>
      effect.kind === 'operator-answer' ? [effect.answer] : [],
    );
    expect(answers).toMatchObject([{ status: 503 }]);
  });
});

describe('records of extensions', () => {
  it('take a bounded share of each batch, in order, and are reported as stored', () => {
    const stored: string[] = [];
    let remaining = 40;
    const driver = driverWith(
      stubExtension({
        decide: (): ExtensionRequest[] => {
          if (remaining === 0) return [];
          const requests: ExtensionRequest[] = [];
          for (; remaining > 0; remaining -= 1)
            requests.push({
              kind: 'write',
              writes: [{ key: `k-${String(remaining).padStart(2, '0')}`, value: 1 }],
            });
          return requests;
        },
        observe: (event) => {
          if (event.kind === 'stored') stored.push(...event.writes.map(({ key }) => key));
        },
      }),
    );
    driver.advance(30_000);
    const batches = driver.effects.flatMap((effect) =>
      effect.kind === 'store-batch' ? [effect.operations] : [],
    );
    const sizes = batches.map(
      (operations) => operations.filter((op) => op.kind === 'write-extension-records').length,
    );
    expect(Math.max(...sizes)).toBeLessThanOrEqual(6);
    expect(stored).toHaveLength(40);
    expect(stored).toEqual([...stored].sort().reverse());
  });

  it('are guarded by leader key and revision; deletions of absent ones are skipped', async () => {
    const transactions: unknown[] = [];
    const STORED = { kind: 'stored', refused: [] };
    const store: Pick<KeyValueStore, 'isDown' | 'compareAndSwap'> = {
      isDown: false,
      compareAndSwap: async (guards, writes) => {
        transactions.push({ guards, writes });
        return { kind: 'committed', revision: 9 as Revision };
      },
    };
    const jitter: Pick<Jitter, 'apply'> = { apply: (ms) => ms };
    const writer = new BatchWriter({
      store: store as KeyValueStore,
      fencingToken: 7 as FencingToken,
      log,
      jitter: jitter as Jitter,
    });
    const operations: StoreOperation[] = [
      {
        kind: 'write-extension-records',
        extension: 'drain',
        writes: [
          { key: 'a', value: { n: 1 } },
          { key: 'gone', value: null },
        ],
      },
      {
        kind: 'write-extension-records',
        extension: 'drain',
        writes: [{ key: 'gone', value: null }],
      },
    ];
    expect(await writer.storeBatch(operations)).toEqual(STORED);
    expect(
      await writer.storeBatch([
        {
          kind: 'write-extension-records',
          extension: 'drain',
          writes: [{ key: 'a', value: null }],
        },
      ]),
    ).toEqual(STORED);
    expect(transactions).toEqual([
      {
        guards: [
          { key: 'leader', revision: 7 },
          { key: 'x/drain/a', revision: 0 },
        ],
        writes: [{ put: 'x/drain/a', value: { n: 1 } }],
      },
      {
        guards: [
          { key: 'leader', revision: 7 },
          { key: 'x/drain/a', revision: 9 },
        ],
        writes: [{ del: 'x/drain/a' }],
      },
    ]);
    expect(writer.lastRevision).toBe(9);
  });
});
