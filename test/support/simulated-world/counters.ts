/** Counts of events in drawn histories, so that tests can assert that no check was vacuous. */

/** Returns all counters at 0. */
export const createCounters = () => ({
  /** Tasks started by workers. */
  starts: 0,
  /** Leaders elected. */
  failovers: 0,
  /** Lost replies to heartbeats. */
  lostReplies: 0,
  /** Heartbeats that the network delivered again, late. */
  delayedCopies: 0,
  /** Direct commands that the network delivered again, late. */
  copiedCommands: 0,
  /** One-way partitions in which a machine's heartbeats arrive but nothing reaches it. */
  inboundBlocks: 0,
  /** Leaders that crashed and restarted within a second. */
  quickRestarts: 0,
  /** Simultaneous faults of many machines, by kind. */
  massFaults: { removed: 0, restarted: 0, hung: 0, held: 0, reclaimNotice: 0 },
  /** Leaders whose process paused. */
  freezes: 0,
  /** Crashes of all controllers at once. */
  blackouts: 0,
  /** Outages of the key-value store. */
  outages: 0,
  /** Periods in which the key-value store is slow. */
  slowPeriods: 0,
  /** Replicas started, ended by themselves, moved off reclaimed machines; services cancelled. */
  services: { starts: 0, ends: 0, moves: 0, cancelled: 0 },
  /** Leaders whose version differs from their predecessor's. */
  versionChanges: 0,
  /** Batches that were split into several transactions. */
  splitBatches: 0,
  /** Coinciding faults, as named in `docs/compound-failures.md`. */
  compoundFaults: {
    refusedThenDown: 0,
    cancelledInGap: 0,
    keptForNext: 0,
    writtenLate: 0,
    answeredLate: 0,
    cancelledAtEnd: 0,
    cancelledWithHang: 0,
    mute: 0,
    upAtOnce: 0,
    longBlackouts: 0,
    handedOverAndBack: 0,
    atLimitUnasked: 0,
  },
});

/** The counters of one history, or totals. */
export type Counters = ReturnType<typeof createCounters>;

/** Adds the counters of one history to a total. */
export const addCounters = (total: Counters, counters: Counters): void => {
  addGroup(total, counters);
  addGroup(total.services, counters.services);
  addGroup(total.massFaults, counters.massFaults);
  addGroup(total.compoundFaults, counters.compoundFaults);
};

/** Adds the numbers of one group, without nested groups. */
const addGroup = <T extends object>(total: T, counters: T): void => {
  for (const [name, n] of Object.entries(counters)) {
    const sum: unknown = total[name as keyof T];
    if (typeof n === 'number' && typeof sum === 'number') Object.assign(total, { [name]: sum + n });
  }
};
