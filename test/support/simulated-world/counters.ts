/** Counts of what the drawn histories reached: checks of what never happened would mean nothing. */

/** All counters at 0. */
export const createCounters = () => ({
  /** Tasks started by workers. */
  starts: 0,
  /** Leaders elected. */
  failovers: 0,
  /** Replies to heartbeats that were lost. */
  lostReplies: 0,
  /** Heartbeats that the network delivered again, late. */
  delayedCopies: 0,
  /** Spells in which a machine is heard but nothing reaches it. */
  inboundBlocks: 0,
  /** Leaders that crashed and were back within a second. */
  quickRestarts: 0,
  /** Faults of many machines at once, by kind. */
  massFaults: { removed: 0, restarted: 0, hung: 0, held: 0, reclaimNotice: 0 },
  /** Leaders whose process stood still. */
  freezes: 0,
  /** All controllers down at once. */
  blackouts: 0,
  /** Outages of the key-value store. */
  outages: 0,
  /** Spells in which the key-value store is slow. */
  slowPeriods: 0,
  /** Replicas started, ended by themselves, moved off machines about to go; services cancelled. */
  services: { starts: 0, ends: 0, moves: 0, cancelled: 0 },
  /** Leaders that follow one of the other version. */
  versionChanges: 0,
  /** Batches that took several transactions. */
  splitBatches: 0,
  /** Two faults that meet, by kind, as `docs/compound-failures.md` names them. */
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

/** See `createCounters`. */
export type Counters = ReturnType<typeof createCounters>;

/** Adds the counts of one history to a total. */
export const addCounters = (total: Counters, counters: Counters): void => {
  addGroup(total, counters);
  addGroup(total.services, counters.services);
  addGroup(total.massFaults, counters.massFaults);
  addGroup(total.compoundFaults, counters.compoundFaults);
};

/** Adds the numbers of one group, and leaves groups within it alone. */
const addGroup = <T extends object>(total: T, counters: T): void => {
  for (const [name, n] of Object.entries(counters)) {
    const sum: unknown = total[name as keyof T];
    if (typeof n === 'number' && typeof sum === 'number') Object.assign(total, { [name]: sum + n });
  }
};
