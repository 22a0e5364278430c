/**
 * One term of leadership: its lifecycle, its authority and the wiring of its components. These
 * recover the state, watch jobs and machines, answer workers and execute effects; the command loop
 * owns the state.
 */
import { sleep, steadyNow } from '../adapters/runtime/clock.js';
import { type CoreState, createCore } from '../core/core-state.js';
import type { OperatorAnswer, OperatorCall } from '../core/extensions/extension.js';
import { ExtensionHost } from '../core/extensions/extension-host.js';
import { graceAfterLeaseLoss } from '../core/lifecycle/worker-leases.js';
import type { Authority } from '../core/model/effect.js';
import type { Heartbeat } from '../core/model/heartbeat.js';
import type { FencingToken, JobId, Revision } from '../core/model/ids.js';
import { type Instant, type Millis, seconds } from '../core/model/time.js';
import type { HeartbeatDecision } from '../ports/heartbeat-service.js';
import { BatchWriter } from './batch-writer.js';
import { CommandLoop } from './command-loop.js';
import type { Dependencies } from './dependencies.js';
import { EffectRunner } from './effect-runner.js';
import { JobIntake } from './job-intake.js';
import { ProgressPublisher } from './job-progress/progress-publisher.js';
import { JobWatch } from './job-watch.js';
import type { LeaderElection } from './leader-election.js';
import { MachinePoller } from './machine-poller.js';
import { maxStateBytes } from './memory-budget.js';
import { type RecoveredState, StateRecovery } from './state-recovery.js';
import type { JobCompletion, JobRecord } from './stored-records.js';
import type { TermContext } from './term-context.js';
import { type CancellationOutcome, TermReplies } from './term-replies.js';
import { type HeartbeatCoverage, WorkerHeartbeats } from './worker-heartbeats.js';
import { WriteShare } from './write-share.js';

/** Maximum attempts on one machine: its heartbeat must fit in a request of 64 KiB. */
const MAX_ATTEMPTS_PER_MACHINE = 400;
const TICK_INTERVAL_MS = 250;

/** What a term gets from its controller. */
export interface LeaderTermOptions {
  readonly dependencies: Dependencies;
  readonly fencingToken: FencingToken;
  /** When this node was elected. */
  readonly acquiredAt: Instant;
  readonly election: LeaderElection;
  /** Called once a job's completion is stored. */
  readonly onJobEnded: (id: JobId, completion: JobCompletion) => void;
  /** True while neither the key-value store nor any peer answers this node. */
  readonly isIsolated: () => boolean;
}

/** Creates the core of a new term, which is empty until the stored state is recovered. */
const createTermCore = (
  { dependencies, fencingToken, acquiredAt }: LeaderTermOptions,
  graceAfterLeaseLossMs: Millis,
): CoreState => {
  const { workers, cloudLimits, keyValueStoreLimits, quota, teams } = dependencies.settings;
  const core = createCore({
    fencingToken,
    acquiredAt,
    teams,
    policy: dependencies.policy,
    heartbeatIntervalMs: seconds(workers.heartbeatIntervalS),
    workerLeaseMs: seconds(workers.leaseS),
    graceAfterLeaseLossMs,
    listLagMs: seconds(cloudLimits.listLagS),
    maxTransactionOperations: keyValueStoreLimits.maxTransactionOperations,
    storeWritesPerSecond: keyValueStoreLimits.nextWriteRps,
    maxValueBytes: keyValueStoreLimits.maxValueBytes,
    maxAttemptsPerMachine: MAX_ATTEMPTS_PER_MACHINE,
    maxStateBytes: maxStateBytes(quota.memoryMb),
    wallClockOffsetMs: Date.now() - steadyNow(),
  });
  if (dependencies.extensions.length > 0) {
    core.extensions = new ExtensionHost(
      core,
      dependencies.extensions.map((module) => module.create()),
    );
  }
  return core;
};

/** The components that a controller has only while it leads. */
export class LeaderTerm implements TermContext {
  readonly fencingToken: FencingToken;
  /** Owns the leader's state. */
  readonly commandLoop: CommandLoop;
  private readonly dependencies: Dependencies;
  private readonly election: LeaderElection;
  /** How long workers may be kept alive after the leader's lease has expired. */
  private readonly graceAfterLeaseLossMs: Millis;
  private readonly replies = new TermReplies();
  private readonly batchWriter: BatchWriter;
  private readonly writeShare: WriteShare;
  private readonly jobIntake: JobIntake;
  private readonly effectRunner: EffectRunner;
  private readonly workerHeartbeats: WorkerHeartbeats;
  private hasEnded = false;

  constructor(options: LeaderTermOptions) {
    const { dependencies, fencingToken, election, onJobEnded, isIsolated } = options;
    const { log, settings } = dependencies;
    const { workers, keyValueStoreLimits, quota } = settings;
    this.fencingToken = fencingToken;
    this.dependencies = dependencies;
    this.election = election;
    this.graceAfterLeaseLossMs = graceAfterLeaseLoss(
      seconds(workers.cancelS),
      seconds(workers.leaseS),
    );
    const commandLoop = new CommandLoop({
      core: createTermCore(options, this.graceAfterLeaseLossMs),
      authority: () => this.authority(),
      runEffect: (effect) => this.effectRunner.run(effect),
      cores: quota.cores,
    });
    this.commandLoop = commandLoop;
    this.batchWriter = new BatchWriter({
      store: dependencies.batchStore,
      fencingToken,
      log,
      jitter: dependencies.jitter,
      maxMutations: keyValueStoreLimits.maxTransactionOperations,
    });
    this.writeShare = new WriteShare(dependencies);
    this.jobIntake = new JobIntake(this.batchWriter.keyRevisions, this.writeShare, log);
    const { batchWriter, replies } = this;
    this.effectRunner = new EffectRunner({
      dependencies,
      term: this,
      election,
      batchWriter,
      replies,
      commandLoop,
      onJobEnded,
    });
    this.workerHeartbeats = new WorkerHeartbeats({
      workers,
      log,
      term: this,
      election,
      replies,
      commandLoop,
      isIsolated,
    });
  }

  /** Starts recovering the stored state; the term's loops start afterwards. */
  start(): void {
    this.dependencies.runInBackground('state-recovery', () => this.recoverState());
  }

  /** Ends the term: its loops stop, and waiting callers are answered as timed out. */
  stop(): void {
    this.hasEnded = true;
    this.commandLoop.stop();
    this.batchWriter.stop();
    this.replies.close();
  }

  /** False once the term has ended. */
  get isCurrent(): boolean {
    return !this.hasEnded;
  }

  /** `lead` while the lease is certainly valid, then `keep-alive` for a grace time, then `none`. */
  authority(): Authority {
    if (!this.isCurrent || this.election.fencingToken !== this.fencingToken) return 'none';
    const now = steadyNow();
    const { leaseValidUntil } = this.election;
    if (now < leaseValidUntil) return 'lead';
    return now < leaseValidUntil + this.graceAfterLeaseLossMs ? 'keep-alive' : 'none';
  }

  private async recoverState(): Promise<void> {
    const { dependencies, jobIntake } = this;
    const { keyRevisions } = this.batchWriter;
    const recovery = new StateRecovery({ dependencies, term: this, jobIntake, keyRevisions });
    const recovered = await recovery.recover();
    if (recovered && this.isCurrent) this.startLoops(recovered);
  }

  private startLoops({ commands, jobsRevision }: RecoveredState): void {
    const { dependencies, jobIntake, commandLoop } = this;
    const jobWatch = new JobWatch({ dependencies, term: this, jobIntake, commandLoop });
    const machinePoller = new MachinePoller(dependencies, this, commandLoop);
    const progressPublisher = new ProgressPublisher({ dependencies, term: this, commandLoop });
    commandLoop.start(commands);
    dependencies.runInBackground('job-watch', () => jobWatch.run(jobsRevision));
    dependencies.runInBackground('progress-publisher', () => progressPublisher.run(jobsRevision));
    dependencies.runInBackground('ticks', () => this.runTicks());
    dependencies.runInBackground('machine-poller', () => machinePoller.run());
  }

  private async runTicks(): Promise<void> {
    while (this.isCurrent) {
      this.writeShare.adjust();
      this.commandLoop.submit({ kind: 'tick' });
      await sleep(TICK_INTERVAL_MS);
    }
  }

  /** Submits a job whose record this node has just stored. */
  addAdmittedJob(record: JobRecord, revision: Revision): void {
    this.commandLoop.submit(this.jobIntake.commandForJob(record, revision));
  }

  /** Submits a stored job that may be new to this leader. */
  addStoredJob(key: string, value: unknown, revision: Revision): void {
    for (const command of this.jobIntake.commandsForRecords([{ key, value, revision }]))
      this.commandLoop.submit(command);
  }

  /** Cancels a job, and waits for a bounded time until its completion is stored. */
  cancelJob(id: JobId): Promise<CancellationOutcome> {
    return this.replies.cancellationReplies.request((ticket) =>
      this.commandLoop.submit({ kind: 'cancel-job', job: id, ticket }),
    );
  }

  /** Decides the answer to a worker's heartbeat. */
  handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatDecision> {
    return this.workerHeartbeats.handle(heartbeat);
  }

  /** The heartbeat coverage if it is suspiciously low, else null. */
  lowHeartbeatCoverage(): HeartbeatCoverage | null {
    return this.workerHeartbeats.lowCoverage();
  }

  /** The extension's answer to a call; null without authority or after a time-out. */
  handleOperatorCall(extension: string, call: OperatorCall): Promise<OperatorAnswer | null> {
    if (this.authority() !== 'lead') return Promise.resolve(null);
    return this.replies.operatorReplies.request((ticket) =>
      this.commandLoop.submit({ kind: 'operator-call', extension, call, ticket }),
    );
  }
}
