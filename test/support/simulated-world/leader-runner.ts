/** Runs the core of each leader and applies its effects to the world. */
import { applyCommands } from '../../../src/core/apply-commands.js';
import type { Command } from '../../../src/core/model/command.js';
import type { Effect } from '../../../src/core/model/effect.js';
import type { Instant } from '../../../src/core/model/time.js';
import type { ModelKeyValueStore } from './key-value-store.js';
import type { Leader, Leaders } from './leaders.js';
import type { ModelCloud } from './model-cloud.js';
import type { ModelWorkers } from './model-workers.js';
import type { RuleChecks } from './rule-checks.js';
import type { Simulation } from './simulation.js';
import type { Users } from './users.js';

/** The parts of the world that effects change. */
export interface RunnerDependencies {
  readonly sim: Simulation;
  readonly leaders: Leaders;
  readonly store: ModelKeyValueStore;
  readonly cloud: ModelCloud;
  readonly workers: ModelWorkers;
  readonly users: Users;
  readonly checks: RuleChecks;
}

/** Runs leaders, one batch of commands at a time. */
export class LeaderRunner {
  constructor(private readonly world: RunnerDependencies) {}

  /** Applies the commands queued for a leader, unless its process is paused. */
  run(leader: Leader): void {
    const { sim, leaders } = this.world;
    if (sim.now < leader.frozenUntil) return;
    const commands = leader.queue;
    leader.queue = [];
    const authority = leaders.authority(leader);
    const effects = applyCommands(leader.state, commands, sim.now as Instant, authority);
    for (const effect of effects) this.apply(leader, effect);
  }

  private apply(leader: Leader, effect: Effect): void {
    const { sim, store, cloud, workers, users, checks } = this.world;
    const reply = (command: Command) => sim.after(sim.delay(), () => leader.queue.push(command));
    switch (effect.kind) {
      case 'reply-to-heartbeat':
        return workers.receiveReply(effect.ticket, effect.commands);
      case 'store-batch':
        return store.persist(leader, effect.operations, () =>
          reply({ kind: 'batch-stored', batch: effect.batch }),
        );
      case 'job-ended':
        return checks.checkJobEnded(effect);
      case 'operator-answer':
        return users.receiveAnswer(effect.ticket, effect.answer);
      case 'cancellation-settled':
        return checks.checkCancellationSettled(effect);
      case 'provision':
        return cloud.provision(effect, reply);
      case 'delete-machines':
        return cloud.deleteMachines(leader, effect.machines, reply);
      case 'send-commands':
        return workers.receiveCommands(leader, effect);
      default:
    }
  }
}
