/**
 * Asks workers whether they run tasks of a job, while no leader tells. A heartbeat that this node
 * received, as the leader or not, may be late, so it shows only which worker to ask.
 */
import { steadyNow } from '../../adapters/runtime/clock.js';
import type { Heartbeat, TaskStatus } from '../../core/model/heartbeat.js';
import type { JobId, MachineId } from '../../core/model/ids.js';
import type { Instant } from '../../core/model/time.js';
import type { Dependencies } from '../dependencies.js';

/** A heartbeat is a hint for this long. */
const HINT_RETENTION_MS = 15_000;
/** A worker's answer is used for this long, which is well below the permitted lag. */
const MAX_AGE_MS = 1000;
/** Workers asked about one job: each question has to be answered within the user's time-out. */
const MAX_WORKERS_PER_JOB = 2;
/** Bounds the processor time and the sockets that questions take. */
const MAX_CONCURRENT_INSPECTIONS = 16;

/** What the last heartbeat that this node received from a machine said; without its tasks. */
interface Hint extends Pick<Heartbeat, 'machine' | 'endpoint' | 'agentEpoch' | 'sequence'> {
  readonly runningJobs: ReadonlySet<JobId>;
  readonly receivedAt: Instant;
}

/** A worker's answer, or the pending request for it. */
interface Inspection {
  readonly startedAt: Instant;
  readonly heartbeat: Promise<Heartbeat | null>;
}

type MessageOrder = Pick<Heartbeat, 'agentEpoch' | 'sequence'>;

const isNewer = (one: MessageOrder, other: MessageOrder): boolean =>
  one.agentEpoch === other.agentEpoch
    ? one.sequence > other.sequence
    : one.agentEpoch > other.agentEpoch;

const isRunning = ({ phase }: TaskStatus): boolean =>
  phase === 'running' || phase === 'checkpointing';

const countRunningTasks = ({ tasks }: Heartbeat, id: JobId): number =>
  tasks.filter((task) => task.job === id && isRunning(task)).length;

const findRunningJobs = ({ tasks }: Heartbeat): Set<JobId> => {
  const jobs = new Set<JobId>();
  for (const task of tasks) if (isRunning(task)) jobs.add(task.job);
  return jobs;
};

const hintOf = (heartbeat: Heartbeat): Hint => ({
  machine: heartbeat.machine,
  endpoint: heartbeat.endpoint,
  agentEpoch: heartbeat.agentEpoch,
  sequence: heartbeat.sequence,
  runningJobs: findRunningJobs(heartbeat),
  receivedAt: steadyNow(),
});

/** Inspects workers on any controller. */
export class WorkerInspector {
  /** The oldest first. */
  private readonly hints = new Map<MachineId, Hint>();
  private readonly inspections = new Map<MachineId, Inspection>();
  private pendingInspections = 0;

  constructor(private readonly dependencies: Pick<Dependencies, 'workers'>) {}

  /** Records a heartbeat that this node receives. */
  recordHint(heartbeat: Heartbeat): void {
    const { machine } = heartbeat;
    const known = this.hints.get(machine);
    if (known && !isNewer(heartbeat, known)) return;
    this.hints.delete(machine);
    this.hints.set(machine, hintOf(heartbeat));
    this.dropOldHints();
  }

  private dropOldHints(): void {
    const now = steadyNow();
    for (const [machine, { receivedAt }] of this.hints) {
      if (now - receivedAt < HINT_RETENTION_MS) return;
      this.hints.delete(machine);
    }
  }

  /**
   * Number of the job's tasks that a worker has just said are running; others may run elsewhere. 0
   * if no worker that may run one answers.
   */
  async countRunning(id: JobId): Promise<number> {
    this.dropOldHints();
    let asked = 0;
    for (const hint of [...this.hints.values()].reverse()) {
      if (!hint.runningJobs.has(id)) continue;
      const answer = await this.inspect(hint);
      const running = answer ? countRunningTasks(answer, id) : 0;
      if (running > 0) return running;
      asked += 1;
      if (asked >= MAX_WORKERS_PER_JOB) break;
    }
    return 0;
  }

  private inspect({ machine, endpoint }: Hint): Promise<Heartbeat | null> {
    const known = this.inspections.get(machine);
    if (known && steadyNow() - known.startedAt < MAX_AGE_MS) return known.heartbeat;
    if (this.pendingInspections >= MAX_CONCURRENT_INSPECTIONS) return Promise.resolve(null);
    const heartbeat = this.request(machine, endpoint);
    this.inspections.set(machine, { startedAt: steadyNow(), heartbeat });
    return heartbeat;
  }

  private async request(machine: MachineId, endpoint: string): Promise<Heartbeat | null> {
    this.pendingInspections += 1;
    const answer = await this.dependencies.workers.inspect(endpoint);
    this.pendingInspections -= 1;
    setTimeout(() => this.dropInspection(machine), MAX_AGE_MS).unref();
    // The endpoint may have been reassigned to another machine.
    return answer?.machine === machine ? answer : null;
  }

  private dropInspection(machine: MachineId): void {
    const known = this.inspections.get(machine);
    if (known && steadyNow() - known.startedAt >= MAX_AGE_MS) this.inspections.delete(machine);
  }
}
