/** Controllers that lead, or have led and do not know better: election, recovery and authority. */
import type { CoreState } from '../../../src/core/core-state.js';
import { ExtensionHost } from '../../../src/core/extensions/extension-host.js';
import type { Command } from '../../../src/core/model/command.js';
import type { Authority } from '../../../src/core/model/effect.js';
import type { FencingToken } from '../../../src/core/model/ids.js';
import type { Instant } from '../../../src/core/model/time.js';
import { decodeSegment } from '../../../src/service/stored-records.js';
import { core } from '../builders.js';
import type { Fleet } from './fleet.js';
import type { ModelKeyValueStore } from './key-value-store.js';
import { GRACE_MS, INITIAL_LIMITS, MACHINE_TYPE, REDUCED_LIMITS, TEAMS } from './settings.js';
import type { Simulation } from './simulation.js';

/** A leader's lease when it was just renewed. */
const LEADER_LEASE_MS = 3000;
/** How much later a renewal comes while the key-value store is slow. */
const SLOW_RENEWAL_MS = 1500;
/** A leader renews its lease when less than this is left of it. */
const RENEW_BELOW_MS = 2000;
/** A machine that is not heard for longer than this has not been asked when a leader begins. */
const UNASKED_MS = 2000;

/** A controller that leads, or has led and does not know better. */
export interface Leader {
  readonly fencingToken: number;
  /**
   * It writes by the layout and limits of the version before this one, and cannot read what stands
   * for a service.
   */
  readonly isPreviousVersion: boolean;
  readonly state: CoreState;
  /** false once another may lead: what it still does is fenced by the store. */
  isCurrent: boolean;
  leaseValidUntil: number;
  /** Until then the process stands still, while its clock runs on. */
  frozenUntil: number;
  queue: Command[];
}

/** Elects leaders, one after the other. */
export class Leaders {
  /** The current one and former ones that still run, in the order of their election. */
  list: Leader[] = [];
  /** Heartbeats that the network holds back until the next leader begins. */
  readonly heldHeartbeats: (() => void)[] = [];

  constructor(
    private readonly sim: Simulation,
    private readonly fleet: Fleet,
    private readonly store: ModelKeyValueStore,
  ) {}

  /** The one that leads, if any. */
  current(): Leader | null {
    return this.list.find((l) => l.isCurrent) ?? null;
  }

  /** Elects a leader after a delay, unless there is one by then. */
  electAfter(delay: number): void {
    this.sim.after(delay, () => {
      if (!this.current()) this.elect();
    });
  }

  /** A new leader takes over and recovers the state, once the key-value store is there. */
  elect(): void {
    const { sim } = this;
    if (sim.now < sim.faultTimes.storeDownUntil) {
      this.electAfter(this.store.delay());
      return;
    }
    this.store.data.fencingToken += sim.int(1, 5);
    const isOldVersion = sim.now < sim.upgradedAt && sim.chance(50);
    const leader = this.createLeader(this.store.data.fencingToken, isOldVersion);
    const before = this.list.at(-1);
    if (before && before.isPreviousVersion !== isOldVersion) sim.counters.versionChanges += 1;
    this.list.push(leader);
    sim.counters.failovers += 1;
    this.countUnreachedMachinesAtQuota();
    // Old heartbeats reach the new leader just as it begins.
    for (const deliver of this.heldHeartbeats.splice(0)) sim.after(sim.int(0, 500), deliver);
    this.recover(leader);
  }

  private createLeader(fencingToken: number, isOldVersion: boolean): Leader {
    const { sim } = this;
    const { module } = sim.options;
    const state = core({
      fencingToken: fencingToken as FencingToken,
      acquiredAt: sim.now as Instant,
      teams: new Map(TEAMS.map((t) => [t.name, t])),
      graceAfterLeaseLossMs: GRACE_MS,
      ...(isOldVersion ? INITIAL_LIMITS : REDUCED_LIMITS),
    });
    if (!isOldVersion && module) state.extensions = new ExtensionHost(state, [module.create()]);
    return {
      fencingToken,
      isPreviousVersion: isOldVersion,
      state,
      isCurrent: true,
      leaseValidUntil: sim.now + LEADER_LEASE_MS,
      frozenUntil: 0,
      queue: [],
    };
  }

  /** Counts leaders that begin with a team at its quota and busy machines out of reach. */
  private countUnreachedMachinesAtQuota(): void {
    const { sim } = this;
    const isUnasked = this.fleet
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
            sim.now + UNASKED_MS,
      );
    if (isUnasked && TEAMS.some((t) => this.fleet.cpusOf(t.name) >= t.cpusMax - 1))
      sim.counters.compoundFaults.atLimitUnasked += 1;
  }

  /** Queues what the key-value store and the cloud hold, as the service reads it at a failover. */
  private recover(leader: Leader): void {
    const { queue } = leader;
    queue.push({ kind: 'machine-types', types: [MACHINE_TYPE] });
    for (const [, { spec, at }] of this.store.data.jobs) {
      if (leader.isPreviousVersion && spec.shape === 'service') continue;
      queue.push({ kind: 'job', spec, submittedAt: at as Instant });
    }
    const attempts: Command[] = [];
    for (const [segment, text] of this.store.data.ledger) {
      const record = decodeSegment(JSON.parse(text));
      if (!record) throw new Error(`unreadable record ${segment}`);
      for (const row of record.progress)
        queue.push({ kind: 'recovered-progress', segment, ...row });
      for (const row of record.machines)
        attempts.push({ kind: 'recovered-attempts', segment, ...row });
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

  /** What a leader may still do by its own clock. */
  authority(leader: Leader): Authority {
    const { now } = this.sim;
    if (leader.isCurrent && now < leader.leaseValidUntil) return 'lead';
    return now < leader.leaseValidUntil + GRACE_MS ? 'keep-alive' : 'none';
  }

  /** The last process of the old version is killed once all controllers have this one. */
  stopPreviousVersionWhenUpgraded(): void {
    const { sim } = this;
    if (sim.now < sim.upgradedAt || !this.list.some((l) => l.isPreviousVersion)) return;
    const wasOldLeading = this.current()?.isPreviousVersion;
    this.list = this.list.filter((l) => !l.isPreviousVersion);
    if (!wasOldLeading) return;
    sim.counters.versionChanges += 1;
    this.electAfter(sim.int(10, 6000));
  }

  /**
   * Renews the leader's lease, which counts from before its renewal was sent; in an outage none is
   * renewed, and after it all are.
   */
  renewLease(): void {
    const { now, faultTimes } = this.sim;
    const leader = this.current();
    const slowMs = now < faultTimes.storeSlowUntil ? SLOW_RENEWAL_MS : 0;
    const isStoreUp = now >= faultTimes.storeDownUntil;
    if (leader && isStoreUp && leader.leaseValidUntil - now < RENEW_BELOW_MS - slowMs)
      leader.leaseValidUntil = now + LEADER_LEASE_MS - slowMs;
  }

  /** Ends a former leader that may not even keep workers alive any more. */
  endIfExpired(leader: Leader): void {
    if (!leader.isCurrent && this.sim.now > leader.leaseValidUntil + GRACE_MS)
      this.list = this.list.filter((l) => l !== leader);
  }
}
