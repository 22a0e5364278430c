/** Executes the core's effects. */
import type { Effect } from '../core/model/effect.js';
import type { JobId } from '../core/model/ids.js';
import type { BatchWriter } from './batch-writer.js';
import type { CommandLoop } from './command-loop.js';
import type { Dependencies } from './dependencies.js';
import type { LeaderElection } from './leader-election.js';
import type { JobCompletion } from './stored-records.js';
import type { TermContext } from './term-context.js';
import type { CancellationOutcome, TermReplies } from './term-replies.js';

type EffectOf<K extends Effect['kind']> = Extract<Effect, { kind: K }>;

/** Components on which effects of one leader term act. */
export interface EffectRunnerOptions {
  readonly dependencies: Pick<Dependencies, 'cloud' | 'log' | 'runInBackground' | 'workers'>;
  readonly term: TermContext;
  readonly election: LeaderElection;
  readonly batchWriter: BatchWriter;
  readonly replies: TermReplies;
  readonly commandLoop: CommandLoop;
  /** Called once a job's completion is stored. */
  readonly onJobEnded: (id: JobId, completion: JobCompletion) => void;
}

const cancellationOutcome = ({ outcome }: EffectOf<'cancellation-settled'>): CancellationOutcome =>
  outcome === null ? { kind: 'unknown-job' } : { kind: 'ended', outcome };

/** Runs effects during one leader term, and submits their results as commands. */
export class EffectRunner {
  constructor(private readonly options: EffectRunnerOptions) {}

  /** Starts an effect without awaiting its result; does nothing after the term's end. */
  run(effect: Effect): void {
    const { dependencies, replies, term } = this.options;
    if (!term.isCurrent) return;
    switch (effect.kind) {
      case 'reply-to-heartbeat':
        return replies.heartbeatReplies.settle(effect.ticket, effect.commands);
      case 'operator-answer':
        return replies.operatorReplies.settle(effect.ticket, effect.answer);
      case 'cancellation-settled':
        return replies.cancellationReplies.settle(effect.ticket, cancellationOutcome(effect));
      case 'job-ended':
        return this.announceJobEnd(effect);
      case 'store-batch':
        return dependencies.runInBackground('store-batch', () => this.storeBatch(effect));
      case 'provision':
        return dependencies.runInBackground('provision', () => this.provision(effect));
      case 'delete-machines':
        return dependencies.runInBackground('delete-machines', () => this.deleteMachines(effect));
      case 'send-commands':
        return dependencies.runInBackground('send-commands', () => this.sendCommands(effect));
      case 'log':
        return dependencies.log[effect.level](effect.fields, effect.text);
      default:
        effect satisfies never;
    }
  }

  /** Checked when a queued cloud request is sent: the authority may have ended by then. */
  private readonly mayChangeFleet = (): boolean => {
    const { term } = this.options;
    return term.isCurrent && term.authority() === 'lead';
  };

  private announceJobEnd(effect: EffectOf<'job-ended'>): void {
    this.options.onJobEnded(effect.job, effect);
    const { job: jobId, outcome } = effect;
    this.options.dependencies.log.info({ jobId, outcome }, 'job ended');
  }

  private async storeBatch({ batch, operations: ops }: EffectOf<'store-batch'>): Promise<void> {
    const { batchWriter, commandLoop, election, term } = this.options;
    const result = await batchWriter.storeBatch(ops);
    if (!term.isCurrent) return;
    const revision = batchWriter.lastRevision;
    // After `leadership-lost` this node cannot write, so it steps down.
    if (result.kind === 'stored')
      commandLoop.submit({ kind: 'batch-stored', batch, refused: result.refused, revision });
    else election.stepDown();
  }

  private async provision(effect: EffectOf<'provision'>): Promise<void> {
    const { commandLoop, dependencies } = this.options;
    const { request, type, zone, spot, count } = effect;
    const result = await dependencies.cloud.provision(effect, this.mayChangeFleet);
    const outcome = result.kind === 'provisioned' ? 'ok' : result.kind;
    const machines = result.kind === 'provisioned' ? result.machines : [];
    dependencies.log.info(
      { requestId: request, machineType: type, zone, spot, count, outcome, machineIds: machines },
      'provision request finished',
    );
    commandLoop.submit({ kind: 'provision-result', request, result: outcome, machines });
  }

  private async deleteMachines({ machines }: EffectOf<'delete-machines'>): Promise<void> {
    const { commandLoop, dependencies } = this.options;
    const ok = await dependencies.cloud.deleteMachines(machines, this.mayChangeFleet);
    dependencies.log.info({ machineIds: machines, ok }, 'machine deletion request finished');
    commandLoop.submit({ kind: 'deletion-result', machines, ok });
  }

  private async sendCommands(effect: EffectOf<'send-commands'>): Promise<void> {
    const { commandLoop, dependencies, election, term } = this.options;
    const heartbeat = await dependencies.workers.sendCommands(
      effect.endpoint,
      term.fencingToken,
      effect.agentEpoch,
      effect.commands,
    );
    // The endpoint may have been reassigned to another machine.
    if (!heartbeat || !term.isCurrent || heartbeat.machine !== effect.machine) return;
    if (heartbeat.fencingToken > term.fencingToken) election.stepDown();
    else commandLoop.submit({ kind: 'heartbeat', heartbeat, ticket: null });
  }
}
