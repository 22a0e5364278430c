/** Measures the heap that attempts take in each role of a controller, with real heartbeats. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { HeartbeatParser } from '../../src/adapters/workers/heartbeat-parser.js';
import { applyCommands } from '../../src/core/apply-commands.js';
import { type CoreState, createCore } from '../../src/core/core-state.js';
import type { Command } from '../../src/core/model/command.js';
import type { Effect } from '../../src/core/model/effect.js';
import type { FencingToken, JobId, ReplyTicket, Revision } from '../../src/core/model/ids.js';
import type { Instant } from '../../src/core/model/time.js';
import type { WorkerCommand } from '../../src/core/model/worker-command.js';
import type { KeyValueStore, StoredItem } from '../../src/ports/key-value-store.js';
import { PlacedJobs } from '../../src/service/job-progress/placed-jobs.js';
import { WorkerInspector } from '../../src/service/job-progress/worker-inspector.js';
import { StateRecovery } from '../../src/service/state-recovery.js';
import { encodeSegment } from '../../src/service/stored-records.js';
import { core, job, machineType, team } from './builders.js';

/** As after months of service: attempt numbers are then too large for small integers. */
const FENCING_TOKEN = 5_000_000;
const SUCCESSOR_TOKEN = 6_000_000;
const TASKS_PER_MACHINE = 400;
const STEP_MS = 250;
/** Times in production are fractions of a millisecond. */
const CLOCK_FRACTION_MS = 0.37;

/** Bytes of heap for each attempt. */
export interface AttemptBytes {
  readonly leader: number;
  /** The most at any time while the ledger is read and applied. */
  readonly successor: number;
  readonly follower: number;
}

const collectGarbage = (): (() => void) => {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
};
const gc = collectGarbage();

/** Bytes of the heap and of typed arrays that are in use. */
export const usedBytes = (): number => {
  gc();
  gc();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

const newCore = (fencingToken: number, acquiredAt: number): CoreState => {
  const blue = team('blue', 1_000_000);
  return createCore({
    ...core({
      fencingToken: fencingToken as FencingToken,
      acquiredAt: acquiredAt as Instant,
      teams: new Map([[blue.name, blue]]),
      maxAttemptsPerMachine: TASKS_PER_MACHINE,
      storeWritesPerSecond: 1000,
    }).config,
  });
};

/** One leader with its machines, all full of one array's tasks. */
export class FullFleet {
  readonly state: CoreState;
  /** The ledger as the key-value store holds it: JSON by key. */
  readonly ledger = new Map<string, string>();
  private readonly parser = new HeartbeatParser();
  private readonly inspector = new WorkerInspector({ workers: {} as never });
  /** The tasks on each machine, as the JSON that its heartbeats contain. */
  private readonly pieces = new Map<string, string>();
  private now = CLOCK_FRACTION_MS;
  private tick = 0;

  constructor(
    readonly machineCount: number,
    private readonly jobIds: readonly string[] = ['job-000001'],
  ) {
    this.state = newCore(FENCING_TOKEN, 0);
    this.apply(
      { kind: 'machine-types', types: [machineType('c8')] },
      { kind: 'recovery-completed' },
    );
    for (let i = 0; i < machineCount; i += 1)
      this.pieces.set(`n-${String(i).padStart(6, '0')}`, '[]');
    this.heartbeatAll();
    this.heartbeatAll();
    this.wait(4000);
  }

  /** Size of the fleet's own records: what runs on the machines, and the stored ledger. */
  get recordBytes(): number {
    let bytes = 0;
    for (const text of [...this.pieces.values(), ...this.ledger.values()]) bytes += text.length;
    return bytes;
  }

  private apply(...commands: Command[]): Effect[] {
    const effects = applyCommands(this.state, commands, this.now as Instant, 'lead');
    const all = [...effects];
    for (const effect of effects) {
      if (effect.kind !== 'store-batch') continue;
      for (const operation of effect.operations)
        if (operation.kind === 'write-segment')
          this.ledger.set(operation.key, JSON.stringify(encodeSegment(operation)));
      all.push(...this.apply({ kind: 'batch-stored', batch: effect.batch }));
    }
    return all;
  }

  private wait(ms: number): void {
    for (const end = this.now + ms; this.now < end; ) {
      this.now += STEP_MS;
      this.apply({ kind: 'tick' });
    }
  }

  private heartbeatText(machine: string, token: number): string {
    this.tick += 1;
    const frame = JSON.stringify({
      Berth: machine,
      Endpoint: '127.0.0.1:9',
      Hull: 'c8',
      Yard: 'a',
      Loaners: false,
      Tenure: 1,
      Tick: this.tick,
      Baton: token,
      RecallS: null,
    });
    return `${frame.slice(0, -1)},"Pieces":${this.pieces.get(machine)}}`;
  }

  private startTasks(machine: string, commands: readonly WorkerCommand[]): void {
    const starts = commands.filter(({ op }) => op === 'start');
    if (starts.length === 0) return;
    const started = starts.map(({ job: id, index, attempt }) => ({
      Piece: `${id}/${index}`,
      Try: attempt,
      Status: 'running',
    }));
    const pieces = [...JSON.parse(this.pieces.get(machine) ?? '[]'), ...started];
    this.pieces.set(machine, JSON.stringify(pieces));
  }

  /** Sends one machine's heartbeat as a worker does; it runs what the reply starts. */
  private heartbeat(machine: string): void {
    const text = this.heartbeatText(machine, this.tick < this.machineCount ? 0 : FENCING_TOKEN);
    const heartbeat = this.parser.parse(JSON.parse(text));
    if (!heartbeat) throw new Error('malformed heartbeat');
    this.inspector.recordHint(heartbeat);
    const ticket = this.tick as ReplyTicket;
    const effects = this.apply({ kind: 'heartbeat', heartbeat, ticket });
    for (let i = 0; i < 12; i += 1) {
      for (const effect of effects) {
        if (effect.kind !== 'reply-to-heartbeat' || effect.ticket !== ticket) continue;
        return this.startTasks(machine, effect.commands ?? []);
      }
      effects.push(...this.apply({ kind: 'tick' }));
      this.now += 1;
    }
  }

  private heartbeatAll(): void {
    for (const machine of this.pieces.keys()) this.heartbeat(machine);
  }

  /** Submits the jobs and runs tasks until each machine is full, with three more heartbeats. */
  fill(): void {
    const tasks = Math.ceil((this.machineCount * TASKS_PER_MACHINE) / this.jobIds.length);
    for (const id of this.jobIds) {
      const spec = job(id, { tasks, cpus: 0.02, memoryGb: 0.15 });
      this.apply({ kind: 'job', spec, submittedAt: this.now as Instant });
    }
    for (let i = 0; i < 60 && this.state.awaitingLedgerEntry.size > 0; i += 1) this.wait(500);
    for (let i = 0; i < 4; i += 1) this.heartbeatAll();
  }

  /** The heap of a node that has received one heartbeat of each machine. */
  receiveAll(): unknown[] {
    const parser = new HeartbeatParser();
    const inspector = new WorkerInspector({ workers: {} as never });
    for (const machine of this.pieces.keys()) {
      const heartbeat = parser.parse(JSON.parse(this.heartbeatText(machine, FENCING_TOKEN)));
      if (heartbeat) inspector.recordHint(heartbeat);
    }
    return [parser, inspector];
  }
}

/** A store with this ledger; `onListed` is called when a listing is complete. */
const storeOf = (ledger: ReadonlyMap<string, string>, onListed: () => void): KeyValueStore => {
  const store: Partial<KeyValueStore> = {
    listAll: async <T>(prefix: string, decode = (item: StoredItem) => item as T) => {
      const items: T[] = [];
      for (const [key, text] of ledger)
        if (key.startsWith(prefix))
          items.push(decode({ key, value: JSON.parse(text), revision: 1 as Revision }));
      onListed();
      return { kind: 'listed' as const, items, revision: 1 as Revision };
    },
    watch: async () => ({ kind: 'changes', revision: 1 as Revision, changes: [] }),
  };
  return store as KeyValueStore;
};

const log = { info: () => {}, error: () => {}, debug: () => {} };

const measureSuccessor = async (fleet: FullFleet): Promise<number> => {
  const before = usedBytes();
  let peak = before;
  const sample = (): void => {
    peak = Math.max(peak, usedBytes());
  };
  const recovery = new StateRecovery({
    dependencies: {
      batchStore: storeOf(fleet.ledger, sample),
      extensions: [],
      jitter: {} as never,
      log: log as never,
      machineTypes: [machineType('c8')],
      settings: { maxClockOffsetMs: 25 } as never,
    },
    term: { isCurrent: true } as never,
    jobIntake: { commandsForRecords: () => [] } as never,
    keyRevisions: new Map(),
  });
  const recovered = await recovery.recover();
  if (!recovered) throw new Error('nothing recovered');
  sample();
  const state = newCore(SUCCESSOR_TOKEN, 0);
  const jobs: Command[] = [...fleet.state.jobs.values()].map(({ spec }) => ({
    kind: 'job',
    spec,
    submittedAt: 0 as Instant,
  }));
  const commands = [...jobs, ...recovered.commands];
  applyCommands(state, commands, CLOCK_FRACTION_MS as Instant, 'lead');
  sample();
  const received = fleet.receiveAll();
  sample();
  if (state.jobs.size === 0 || received.length === 0) throw new Error('nothing measured');
  return peak - before;
};

const measureFollower = async (fleet: FullFleet): Promise<number> => {
  const before = usedBytes();
  let peak = before;
  const placedJobs = new PlacedJobs({
    batchStore: storeOf(fleet.ledger, () => {
      peak = Math.max(peak, usedBytes());
    }),
  });
  const found = await placedJobs.find('job-000001' as JobId);
  const received = fleet.receiveAll();
  peak = Math.max(peak, usedBytes());
  if (!found || received.length === 0) throw new Error('nothing measured');
  return peak - before;
};

/** Bytes of heap for each attempt, on this many full machines. */
export const measureAttemptBytes = async (
  machines: number,
  jobIds?: readonly string[],
): Promise<AttemptBytes> => {
  const fleet = new FullFleet(machines, jobIds);
  const before = usedBytes();
  const recordBytes = fleet.recordBytes;
  fleet.fill();
  const after = usedBytes();
  const attempts = [...fleet.state.machines.values()]
    .flatMap((machine) => [...machine.placements.values()])
    .filter(({ phase }) => phase === 'running').length;
  if (attempts !== machines * TASKS_PER_MACHINE) throw new Error(`${attempts} attempts run`);
  return {
    leader: (after - before - (fleet.recordBytes - recordBytes)) / attempts,
    successor: (await measureSuccessor(fleet)) / attempts,
    follower: (await measureFollower(fleet)) / attempts,
  };
};
