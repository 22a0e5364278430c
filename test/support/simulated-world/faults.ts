/** Drawn faults: of leaders, machines, the network, the cloud and the key-value store. */
import type { Instant } from '../../../src/core/model/time.js';
import type { Fleet, Machine } from './fleet.js';
import type { Leaders } from './leaders.js';
import type { ModelCloud } from './model-cloud.js';
import type { ModelWorkers } from './model-workers.js';
import { CANCEL_MS, GRACE_MS, WORKER_LEASE_MS } from './settings.js';
import type { Simulation } from './simulation.js';
import type { Users } from './users.js';

/** Kinds of faults; each entry is drawn with equal probability. */
const FAULTS = [
  'lease-lost',
  'lease-lost',
  'hung',
  'reclaim',
  'removed',
  'unknown-machine',
  'no-inbound',
  'restarted',
  'many-machines',
  'leader-frozen',
  'blackout',
  'store',
  'refused-then-down',
  'late-writes',
  'no-outbound',
  'cancelled-with-hang',
  'handed-over-and-back',
  'late-list',
] as const;

/** Faults of one machine. */
type MachineFault = 'hung' | 'reclaim' | 'removed' | 'no-inbound' | 'restarted' | 'no-outbound';

/** The parts of the world that faults affect. */
export interface FaultDependencies {
  readonly sim: Simulation;
  readonly fleet: Fleet;
  readonly leaders: Leaders;
  readonly cloud: ModelCloud;
  readonly workers: ModelWorkers;
  readonly users: Users;
}

export class Faults {
  constructor(private readonly world: FaultDependencies) {}

  /** Draws a fault and applies it. */
  draw(): void {
    const { sim, fleet } = this.world;
    const all = fleet.all();
    const machine = all.length > 0 ? all[sim.int(0, all.length - 1)]! : null;
    const kind = FAULTS[sim.int(1, FAULTS.length) - 1]!;
    switch (kind) {
      case 'lease-lost':
        return this.endLeaderLease(all);
      case 'unknown-machine':
        return this.addUnknownMachine();
      case 'many-machines':
        return this.applyMassFault();
      case 'leader-frozen':
        return this.freezeLeader();
      case 'blackout':
        return this.crashAllControllers();
      case 'store':
        return this.applyStoreFault();
      case 'refused-then-down':
        return this.rejectLeaderThenFailStore(all);
      case 'late-writes':
        sim.faultTimes.lateWritesUntil = sim.now + sim.int(5000, 40_000);
        return;
      case 'cancelled-with-hang':
        return this.cancelAndHang(all);
      case 'handed-over-and-back':
        return this.handOverAndBack();
      case 'late-list':
        return this.deliverLateList();
      default:
        if (machine) this.applyMachineFault(kind, machine);
    }
  }

  private applyMachineFault(kind: MachineFault, machine: Machine): void {
    const { sim, cloud, workers } = this.world;
    switch (kind) {
      case 'hung':
        machine.hungUntil = sim.now + sim.int(2000, 25_000);
        return;
      case 'reclaim':
        if (machine.spot) machine.reclaimAt = sim.now + sim.int(0, 10_000);
        return;
      case 'removed':
        if (machine.spot) cloud.removeMachine(machine.id);
        return;
      case 'no-inbound':
        sim.counters.inboundBlocks += 1;
        machine.inboundBlockedUntil = sim.now + sim.int(3000, 60_000);
        return;
      case 'restarted':
        workers.restart(machine);
        return;
      case 'no-outbound':
        sim.counters.compoundFaults.mute += 1;
        machine.outboundBlockedUntil = sim.now + sim.int(3000, 60_000);
    }
  }

  /** The leader crashes, or loses its lease unnoticed; the next follows once the lease expires. */
  private endLeaderLease(all: readonly Machine[]): void {
    const { sim, leaders } = this.world;
    const leader = leaders.current();
    if (!leader) return;
    leader.isCurrent = false;
    leader.leaseValidUntil = Math.min(leader.leaseValidUntil, sim.now + sim.int(0, 2000));
    const hasCrashed = sim.chance(50);
    if (hasCrashed) leaders.list = leaders.list.filter((l) => l !== leader);
    else if (sim.chance(50)) {
      // The leader is cut off with some workers, and the cloud is unreachable.
      for (const machine of all) {
        if (!sim.chance(40)) continue;
        machine.cutOffWith = leader;
        machine.cutOffUntil = sim.now + sim.int(5000, 40_000);
      }
      sim.faultTimes.cloudDownUntil = sim.now + sim.int(0, 45_000);
    }
    // A crashed process may restart within a second and take over its own leader key at once.
    const isQuick = hasCrashed && sim.chance(40);
    if (isQuick) sim.counters.quickRestarts += 1;
    leaders.electAfter(
      isQuick
        ? sim.int(10, 900)
        : Math.max(0, leader.leaseValidUntil - sim.now) + sim.int(10, 4000),
    );
  }

  /** Adds a machine that the current leader did not request. */
  private addUnknownMachine(): void {
    const { fleet } = this.world;
    if (fleet.machines.size < 8) fleet.add(false, 500);
  }

  /** Applies one kind of fault to many machines at once. */
  private applyMassFault(): void {
    const { sim, fleet, cloud, workers } = this.world;
    const { massFaults } = sim.counters;
    const kinds = Object.keys(massFaults) as (keyof typeof massFaults)[];
    const kind = kinds[sim.int(0, kinds.length - 1)]!;
    massFaults[kind] += 1;
    const until = sim.now + sim.int(3000, 45_000);
    for (const machine of fleet.all()) {
      if (!sim.chance(45)) continue;
      if (kind === 'removed') cloud.removeMachine(machine.id);
      else if (kind === 'hung') machine.hungUntil = until;
      else if (kind === 'held') machine.heldUntil = until;
      else if (kind === 'restarted') workers.restart(machine);
      else if (machine.spot) machine.reclaimAt = sim.now + sim.int(500, 10_000);
    }
  }

  /** The leader's process pauses, at times well past its lease, and then handles its queue. */
  private freezeLeader(): void {
    const { sim, leaders } = this.world;
    const leader = leaders.current();
    if (!leader) return;
    sim.counters.freezes += 1;
    leader.isCurrent = false;
    leader.frozenUntil = sim.now + sim.int(1000, 30_000);
    leaders.electAfter(Math.max(0, leader.leaseValidUntil - sim.now) + sim.int(10, 4000));
  }

  /** All controllers crash and lose their queues, at times for longer than workers' leases. */
  private crashAllControllers(): void {
    const { sim, leaders } = this.world;
    sim.counters.blackouts += 1;
    leaders.list = [];
    if (sim.chance(25)) sim.counters.compoundFaults.longBlackouts += 1;
    const isLong = sim.chance(25);
    leaders.electAfter(
      isLong ? sim.int(WORKER_LEASE_MS, 2 * WORKER_LEASE_MS) : sim.int(3000, 9000),
    );
  }

  /** The key-value store is down, or slow. */
  private applyStoreFault(): void {
    const { sim } = this.world;
    if (sim.chance(50)) {
      sim.counters.outages += 1;
      sim.faultTimes.storeDownUntil = sim.now + sim.int(2000, 25_000);
    } else {
      sim.counters.slowPeriods += 1;
      sim.faultTimes.storeSlowUntil = sim.now + sim.int(5000, 30_000);
    }
  }

  /**
   * The key-value store rejects the leader alone, and some workers still report to it. The next
   * leader confirms cancellations; then the store is down for longer than one may take.
   */
  private rejectLeaderThenFailStore(all: readonly Machine[]): void {
    const { sim, leaders, users } = this.world;
    const leader = leaders.current();
    if (!leader || sim.now < sim.faultTimes.storeDownUntil) return;
    sim.counters.compoundFaults.refusedThenDown += 1;
    leader.isCurrent = false;
    const leaseRemainingMs = Math.max(0, leader.leaseValidUntil - sim.now);
    for (const machine of all) {
      if (!sim.chance(50)) continue;
      machine.cutOffWith = leader;
      machine.cutOffUntil = leader.leaseValidUntil + GRACE_MS;
    }
    const electedMs = leaseRemainingMs + sim.int(10, 600);
    leaders.electAfter(electedMs);
    const downMs = electedMs + sim.int(100, 5000);
    sim.faultTimes.refusalGapUntil = sim.now + downMs;
    for (let i = 0; i < 6; i += 1) {
      sim.after(sim.int(electedMs, downMs), () => users.cancel());
    }
    sim.after(downMs, () => {
      sim.faultTimes.storeDownUntil = sim.now + sim.int(CANCEL_MS, 3 * CANCEL_MS);
    });
  }

  /** Users cancel running jobs, whose machines hang at that moment. */
  private cancelAndHang(all: readonly Machine[]): void {
    const { sim, users } = this.world;
    const busy = all.filter((machine) => machine.isBusy());
    for (const machine of busy.slice(0, sim.int(1, 3))) {
      sim.counters.compoundFaults.cancelledWithHang += 1;
      users.cancel(machine.activeTasks()[0]!.job);
      machine.hungUntil = sim.now + sim.int(1000, 30_000);
    }
  }

  /** Leadership changes repeatedly within a second or two, amid cancellations. */
  private handOverAndBack(): void {
    const { sim, leaders, users } = this.world;
    sim.counters.compoundFaults.handedOverAndBack += 1;
    for (let i = 0; i < 4; i += 1) {
      sim.after(i * sim.int(100, 700), () => {
        users.cancel();
        leaders.list = leaders.list.filter((l) => l !== leaders.current());
        leaders.elect();
      });
    }
  }

  /** The leader gets a delayed list of machines. */
  private deliverLateList(): void {
    const { sim, fleet, leaders } = this.world;
    const leader = leaders.current();
    if (!leader) return;
    const machines = fleet.list();
    const requestedAt = sim.now as Instant;
    sim.after(sim.delay(), () =>
      leader.queue.push({ kind: 'machines-listed', requestedAt, machines }),
    );
  }

  /** Ends all faults, and elects a leader if there is none. */
  heal(): void {
    const { sim, fleet, leaders } = this.world;
    for (const machine of fleet.machines.values()) {
      machine.isFaulty = false;
      machine.hungUntil = 0;
      machine.inboundBlockedUntil = 0;
      machine.outboundBlockedUntil = 0;
      machine.heldUntil = 0;
    }
    const { faultTimes } = sim;
    faultTimes.storeDownUntil = 0;
    faultTimes.storeSlowUntil = 0;
    faultTimes.lateWritesUntil = 0;
    faultTimes.cloudDownUntil = 0;
    faultTimes.noCapacityUntil = 0;
    faultTimes.bootFaultsUntil = 0;
    if (!leaders.current()) leaders.elect();
  }
}
