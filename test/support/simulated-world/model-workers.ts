/** Workers: leases, heartbeats and commands, over links that delay, repeat and lose messages. */
import type { Effect } from '../../../src/core/model/effect.js';
import type { Heartbeat } from '../../../src/core/model/heartbeat.js';
import type { MachineTypeName, ZoneName } from '../../../src/core/model/ids.js';
import type { WorkerCommand } from '../../../src/core/model/worker-command.js';
import { heartbeatOf, taskStatus } from '../builders.js';
import type { Fleet, Machine } from './fleet.js';
import type { Leader, Leaders } from './leaders.js';
import type { ModelCloud } from './model-cloud.js';
import { ANSWER_TIMEOUT_MS, HEARTBEAT_MS, WORKER_LEASE_MS } from './settings.js';
import type { Simulation } from './simulation.js';
import type { TaskExecution } from './task-execution.js';

/** Minimum interval before the early heartbeat that reports the end of a task. */
const EARLY_HEARTBEAT_MS = 500;
const RETRY_MS = 1000;
/** Which direct commands arrive again, and when: after 200 ms to 16 s. */
const COPIED_COMMANDS = { every: 4, minMs: 200, rangeMs: 15_800, strideMs: 977 };

type SendCommandsEffect = Extract<Effect, { kind: 'send-commands' }>;

/** The parts of the world that workers use. */
export interface WorkerDependencies {
  readonly sim: Simulation;
  readonly fleet: Fleet;
  readonly leaders: Leaders;
  readonly cloud: ModelCloud;
  readonly tasks: TaskExecution;
}

export class ModelWorkers {
  /** Handlers of replies to heartbeats, by ticket. */
  private readonly replyHandlers = new Map<
    number,
    (commands: readonly WorkerCommand[] | null) => void
  >();

  private directCommands = 0;

  constructor(private readonly world: WorkerDependencies) {}

  /** Advances one machine by `passedMs`. */
  advance(machine: Machine, passedMs: number): void {
    const { sim, cloud, tasks } = this.world;
    if (sim.now < machine.upAt || machine.isRemoved) return;
    if (machine.reclaimAt !== null && sim.now >= machine.reclaimAt) {
      cloud.removeMachine(machine.id);
      return;
    }
    if (sim.now - machine.leaseStartedAt > WORKER_LEASE_MS) this.expireLease(machine);
    if (sim.now < machine.hungUntil) return;
    if (tasks.advance(machine, passedMs)) {
      const early = Math.max(sim.now, machine.lastHeartbeatAt + EARLY_HEARTBEAT_MS);
      machine.nextHeartbeatAt = Math.min(machine.nextHeartbeatAt, early);
    }
    if (machine.pendingHeartbeat && sim.now - machine.pendingHeartbeat.sentAt > ANSWER_TIMEOUT_MS) {
      machine.pendingHeartbeat = null;
      machine.nextHeartbeatAt = sim.now + RETRY_MS;
    }
    if (!machine.pendingHeartbeat && sim.now >= machine.nextHeartbeatAt)
      this.sendHeartbeat(machine);
  }

  /** Stops all tasks: a hung machine may resume them only within its lease. */
  private expireLease(machine: Machine): void {
    const { now } = this.world.sim;
    machine.agentEpoch += 1;
    machine.tasks = [];
    machine.leaseStartedAt = Math.max(now, machine.hungUntil);
    machine.pendingHeartbeat = null;
    machine.nextHeartbeatAt = now;
  }

  /** Restarts a machine within a second; its worker starts without tasks in a new epoch. */
  restart(machine: Machine): void {
    const { sim } = this.world;
    if (sim.now < machine.upAt) return;
    machine.agentEpoch += 1;
    machine.tasks = [];
    machine.pendingHeartbeat = null;
    machine.upAt = sim.now + sim.int(50, 900);
    machine.leaseStartedAt = machine.upAt;
    machine.nextHeartbeatAt = machine.upAt;
  }

  private heartbeatOf(machine: Machine): Heartbeat {
    machine.heartbeatSequence += 1;
    const { id, heartbeatSequence, fencingToken, reclaimAt } = machine;
    const statuses = machine.tasks.map((t) =>
      taskStatus(t.job, t.index, t.attempt, t.state, t.cause),
    );
    return heartbeatOf(id, heartbeatSequence, fencingToken, statuses, {
      agentEpoch: machine.agentEpoch,
      zone: machine.zone as ZoneName,
      spot: machine.spot,
      type: 'c8' as MachineTypeName,
      reclaimNoticeS: reclaimAt === null ? null : (reclaimAt - this.world.sim.now) / 1000,
    });
  }

  private sendHeartbeat(machine: Machine): void {
    const { sim, fleet, leaders } = this.world;
    const heartbeat = this.heartbeatOf(machine);
    const pending = { sentAt: sim.now, agentEpoch: machine.agentEpoch };
    machine.pendingHeartbeat = pending;
    machine.lastHeartbeatAt = sim.now;
    machine.nextHeartbeatAt = sim.now + HEARTBEAT_MS + sim.int(-500, 500);
    const cutOffWith =
      machine.cutOffWith && sim.now < machine.cutOffUntil ? machine.cutOffWith : null;
    const formerLeader = this.drawFormerLeader();
    const receiver = cutOffWith ?? formerLeader ?? leaders.current();
    const deliver = (to: Leader | null) => {
      if (!to || leaders.authority(to) === 'none' || heartbeat.fencingToken > to.fencingToken)
        return;
      const ticket = sim.nextTicket();
      this.replyHandlers.set(ticket, (commands) => {
        if (commands) this.sendReply(machine, pending, to, commands);
      });
      to.queue.push({ kind: 'heartbeat', heartbeat, ticket });
    };
    if (sim.now < machine.outboundBlockedUntil) return;
    sim.after(fleet.linkDelay(machine), () => deliver(receiver));
    this.drawCopies(deliver, cutOffWith !== null);
  }

  /** Draws a former leader that still runs; mostly null. */
  private drawFormerLeader(): Leader | null {
    const { sim, leaders } = this.world;
    const former = leaders.list.filter((l) => !l.isCurrent);
    return former.length > 0 && sim.chance(15) ? former[sim.int(0, former.length - 1)]! : null;
  }

  /**
   * Draws late copies of a heartbeat, which reach the leader of that time, well over a lease late
   * and even if the machine is gone or in a later epoch. A leader may first see a machine by one.
   */
  private drawCopies(deliver: (to: Leader | null) => void, isCutOff: boolean): void {
    const { sim, leaders } = this.world;
    const deliverCopy = () => {
      sim.counters.delayedCopies += 1;
      deliver(leaders.current());
    };
    if (sim.chance(1) && !isCutOff) {
      sim.counters.compoundFaults.keptForNext += 1;
      // Every leader gets the copy, also former ones.
      leaders.heldHeartbeats.push(() => {
        for (const l of leaders.list) deliver(l);
      });
    }
    if (sim.chance(5) && !isCutOff) sim.after(sim.int(50, 15_000), deliverCopy);
    if (sim.chance(2)) sim.after(sim.int(WORKER_LEASE_MS, 4 * WORKER_LEASE_MS), deliverCopy);
  }

  /** Handles a leader's reply to a heartbeat. */
  receiveReply(ticket: number, commands: readonly WorkerCommand[] | null): void {
    const handle = this.replyHandlers.get(ticket);
    this.replyHandlers.delete(ticket);
    handle?.(commands);
  }

  /** Delivers a reply; the worker drops late and fenced ones and those of an earlier epoch. */
  private sendReply(
    machine: Machine,
    pending: { readonly sentAt: number; readonly agentEpoch: number },
    leader: Leader,
    commands: readonly WorkerCommand[],
  ): void {
    const { sim, fleet, tasks } = this.world;
    const { fencingToken } = leader;
    if (sim.chance(5)) {
      sim.counters.lostReplies += 1;
      return;
    }
    sim.after(fleet.linkDelay(machine), () => {
      const isAbandoned =
        machine.isRemoved ||
        machine.pendingHeartbeat !== pending ||
        sim.now - pending.sentAt > ANSWER_TIMEOUT_MS;
      if (isAbandoned || sim.now < machine.hungUntil || sim.now < machine.inboundBlockedUntil)
        return;
      machine.pendingHeartbeat = null;
      if (fencingToken < machine.fencingToken || machine.agentEpoch !== pending.agentEpoch) return;
      if (fencingToken > machine.fencingToken)
        machine.nextHeartbeatAt = Math.min(machine.nextHeartbeatAt, sim.now + EARLY_HEARTBEAT_MS);
      machine.fencingToken = fencingToken;
      machine.leaseStartedAt = pending.sentAt;
      tasks.execute(machine, commands, leader.isPreviousVersion);
    });
  }

  /** Delivers commands sent outside of replies; the worker answers with a heartbeat. */
  receiveCommands(leader: Leader, effect: SendCommandsEffect): void {
    const { sim, fleet } = this.world;
    const target = fleet.machines.get(effect.machine);
    sim.after(target ? fleet.linkDelay(target) : sim.delay(), () => {
      const machine = this.executeDirectly(leader, effect);
      if (machine) this.answerDirectly(leader, machine);
    });
    this.repeatSome(leader, effect);
  }

  /** Delivers late copies, which nobody waits for; drawn without random numbers. */
  private repeatSome(leader: Leader, effect: SendCommandsEffect): void {
    const { sim } = this.world;
    this.directCommands += 1;
    if (this.directCommands % COPIED_COMMANDS.every !== 0) return;
    const { minMs, rangeMs, strideMs } = COPIED_COMMANDS;
    sim.after(minMs + ((this.directCommands * strideMs) % rangeMs), () => {
      sim.counters.copiedCommands += 1;
      this.executeDirectly(leader, effect);
    });
  }

  /** Returns the machine that executed the commands; null if none did. */
  private executeDirectly(leader: Leader, effect: SendCommandsEffect): Machine | null {
    const { fleet, tasks } = this.world;
    const machine = fleet.machines.get(effect.machine);
    if (!machine || !this.isReachable(machine, leader)) return null;
    if (leader.fencingToken < machine.fencingToken || effect.agentEpoch !== machine.agentEpoch)
      return null;
    machine.fencingToken = leader.fencingToken;
    tasks.execute(machine, effect.commands, leader.isPreviousVersion);
    return machine;
  }

  /** The commands were executed, but some answers are late by seconds. */
  private answerDirectly(leader: Leader, machine: Machine): void {
    const { sim, fleet } = this.world;
    const heartbeat = this.heartbeatOf(machine);
    const extraDelayMs = sim.chance(3) ? sim.int(2000, 12_000) : 0;
    sim.after(extraDelayMs + fleet.linkDelay(machine), () =>
      leader.queue.push({ kind: 'heartbeat', heartbeat, ticket: null }),
    );
  }

  private isReachable(machine: Machine, leader: Leader): boolean {
    const { now } = this.world.sim;
    if (machine.hungUntil > now || machine.upAt > now || machine.inboundBlockedUntil > now)
      return false;
    return now >= machine.cutOffUntil || machine.cutOffWith === leader;
  }
}
