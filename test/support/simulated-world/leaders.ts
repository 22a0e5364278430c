/** Current and former leaders that still run: election, recovery and authority. */
import type { CoreState } from '../../../src/core/core-state.js';
import { ExtensionHost } from '../../../src/core/extensions/extension-host.js';
import type { Command } from '../../../src/core/model/command.js';
import type { Authority } from '../../../src/core/model/effect.js';
import type { FencingToken } from '../../../src/core/model/ids.js';
import type { Instant } from '../../../src/core/model/time.js';
import { recoveredLossesCommand } from '../../../src/service/recovered-losses.js';
import { decodeMachineLosses, decodeSegment } from '../../../src/service/stored-records.js';
import { core } from '../builders.js';
import type { Fleet } from './fleet.js';
import type { ModelKeyValueStore } from './key-value-store.js';
import { GRACE_MS, INITIAL_LIMITS, MACHINE_TYPE, REDUCED_LIMITS, TEAMS } from './settings.js';
import type { Simulation } from './simulation.js';

/** Duration of a leader's lease after a renewal. */
const LEADER_LEASE_MS = 3000;
/** Extra delay of a renewal while the key-value store is slow. */
const SLOW_RENEWAL_MS = 1500;
/** A leader renews its lease when less than this remains. */
const RENEW_BELOW_MS = 2000;
/** A machine out of reach for longer than this counts as unreached by a new leader. */
const UNREACHED_MS = 2000;

/** A current leader, or a former one that may not know that it was replaced. */
export interface Leader {
  readonly fencingToken: number;
  /** Uses the record layout and limits of the previous version, and cannot read services. */
  readonly isPreviousVersion: boolean;
  readonly state: CoreState;
  /** False once another may lead; the store then fences its writes. */
  isCurrent: boolean;
  leaseValidUntil: number;
  /** Until then the process is paused, while its clock continues. */
  frozenUntil: number;
  queue: Command[];
}

export class Leaders {
  /** The current leader and former ones that still run, in the order of election. */
  list: Leader[] = [];
  /** Heartbeats that the network holds back until the next election. */
  readonly heldHeartbeats: (() => void)[] = [];

  constructor(
    private readonly sim: Simulation,
    private readonly fleet: Fleet,
    private readonly store: ModelKeyValueStore,
  ) {}

  current(): Leader | null {
    return this.list.find((l) => l.isCurrent) ?? null;
  }

  /** Elects a leader after a delay, unless there is one by then. */
  electAfter(delay: number): void {
    this.sim.after(delay, () => {
      if (!this.current()) this.elect();
    });
  }

  /** Elects a leader, which recovers the state; waits while the key-value store is down. */
  elect(): void {
    const { sim } = this;
    if (sim.now < sim.faultTimes.storeDownUntil) {
      this.electAfter(this.store.delay());
      return;
    }
    this.store.data.fencingToken += sim.int(1, 5);
    const isPreviousVersion = sim.now < sim.upgradedAt && sim.chance(50);
    const leader = this.createLeader(this.store.data.fencingToken, isPreviousVersion);
    const before = this.list.at(-1);
    if (before && before.isPreviousVersion !== isPreviousVersion) sim.counters.versionChanges += 1;
    this.list.push(leader);
    sim.counters.failovers += 1;
    this.countUnreachedMachinesAtQuota();
    // Held heartbeats reach the new leader at the start of its term.
    for (const deliver of this.heldHeartbeats.splice(0)) sim.after(sim.int(0, 500), deliver);
    this.recover(leader);
  }

  private createLeader(fencingToken: number, isPreviousVersion: boolean): Leader {
    const { sim } = this;
    const { module } = sim.options;
    const state = core({
      fencingToken: fencingToken as FencingToken,
      acquiredAt: sim.now as Instant,
      teams: new Map(TEAMS.map((t) => [t.name, t])),
      graceAfterLeaseLossMs: GRACE_MS,
      ...(isPreviousVersion ? INITIAL_LIMITS : REDUCED_LIMITS),
    });
    if (!isPreviousVersion && module)
      state.extensions = new ExtensionHost(state, [module.create()]);
    return {
      fencingToken,
      isPreviousVersion,
      state,
      isCurrent: true,
      leaseValidUntil: sim.now + LEADER_LEASE_MS,
      frozenUntil: 0,
      queue: [],
    };
  }

  /** Counts elections with a team at its quota and a busy machine out of reach. */
  private countUnreachedMachinesAtQuota(): void {
    const { sim } = this;
    const hasUnreached = this.fleet
      .all()
      .some(
        (m) =>
          m.isBusy() &&
          Math.max(
            m.hungUntil,
            m.cutOffUntil,
            m.heldUntil,
            m.inboundBlockedUntil,
            m.outboundBlockedUntil,
          ) >
            sim.now + UNREACHED_MS,
      );
    if (hasUnreached && TEAMS.some((t) => this.fleet.cpusOf(t.name) >= t.cpusMax - 1))
      sim.counters.compoundFaults.atLimitUnasked += 1;
  }

  /** Queues the stored data and the list of machines, as the service does at a failover. */
  private recover(leader: Leader): void {
    const { queue } = leader;
    queue.push({ kind: 'machine-types', types: [MACHINE_TYPE] });
    for (const [, { spec, submittedAt }] of this.store.data.jobs) {
      if (leader.isPreviousVersion && spec.shape === 'service') continue;
      queue.push({ kind: 'job', spec, submittedAt: submittedAt as Instant });
    }
    if (!leader.isPreviousVersion) this.recoverMachineLosses(leader);
    const attempts: Command[] = [];
    for (const [segment, text] of this.store.data.ledger) {
      const record = decodeSegment(JSON.parse(text));
      if (!record) throw new Error(`cannot decode ledger segment ${segment}`);
      const recordedAt = (record.recordedAtTimeOfDayMs ?? null) as Instant | null;
      for (const row of record.progress)
        queue.push({ kind: 'recovered-progress', segment, ...row });
      for (const row of record.machines)
        attempts.push({ kind: 'recovered-attempts', segment, recordedAt, ...row });
    }
    queue.push(...attempts);
    this.recoverExtension(leader);
    queue.push({ kind: 'recovery-completed' });
    queue.push({
      kind: 'machines-listed',
      requestedAt: this.sim.now as Instant,
      machines: this.fleet.list(),
    });
  }

  /** The model's clocks show the time of day. */
  private recoverMachineLosses(leader: Leader): void {
    for (const text of this.store.data.machineLosses.values()) {
      const page = decodeMachineLosses(JSON.parse(text));
      if (!page) throw new Error('cannot decode a page of lost machines');
      leader.queue.push(recoveredLossesCommand(page, (time) => time as Instant));
    }
  }

  private recoverExtension(leader: Leader): void {
    const name = this.sim.options.module?.name;
    if (!leader.state.extensions || name === undefined) return;
    const prefix = `${name}/`;
    const records = [...this.store.data.records]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, text]) => ({
        key: key.slice(prefix.length),
        value: JSON.parse(text) as unknown,
      }));
    leader.queue.push({ kind: 'extension-records', extension: name, records });
  }

  /** The authority that a leader has by its own clock. */
  authority(leader: Leader): Authority {
    const { now } = this.sim;
    if (leader.isCurrent && now < leader.leaseValidUntil) return 'lead';
    return now < leader.leaseValidUntil + GRACE_MS ? 'keep-alive' : 'none';
  }

  /** Kills the last controller of the previous version at `upgradedAt`. */
  stopPreviousVersionWhenUpgraded(): void {
    const { sim } = this;
    if (sim.now < sim.upgradedAt || !this.list.some((l) => l.isPreviousVersion)) return;
    const wasPreviousLeading = this.current()?.isPreviousVersion;
    this.list = this.list.filter((l) => !l.isPreviousVersion);
    if (!wasPreviousLeading) return;
    sim.counters.versionChanges += 1;
    this.electAfter(sim.int(10, 6000));
  }

  /** Renews the leader's lease when due, except in an outage; it counts from before the request. */
  renewLease(): void {
    const { now, faultTimes } = this.sim;
    const leader = this.current();
    const slowMs = now < faultTimes.storeSlowUntil ? SLOW_RENEWAL_MS : 0;
    const isStoreUp = now >= faultTimes.storeDownUntil;
    if (leader && isStoreUp && leader.leaseValidUntil - now < RENEW_BELOW_MS - slowMs)
      leader.leaseValidUntil = now + LEADER_LEASE_MS - slowMs;
  }

  /** Removes a former leader once it may no longer keep workers alive. */
  endIfExpired(leader: Leader): void {
    if (!leader.isCurrent && this.sim.now > leader.leaseValidUntil + GRACE_MS)
      this.list = this.list.filter((l) => l !== leader);
  }
}
