/** The operators' policy: weights, thresholds and delays. */

/** Operators' settings; see README for each default. */
export interface Policy {
  /** Points for each hour of waiting. */
  readonly ageFactor: number;
  readonly deadlineWeight: number;
  readonly scarcityWeight: number;
  readonly shortnessWeight: number;
  /** Points for each level of the job's own priority: our addition to the four scores. */
  readonly priorityWeight: number;
  readonly deadlineEstimateFactor: number;
  readonly deadlineScoreMin: number;
  readonly deadlineScoreMax: number;
  /** A job that has waited this long gets its first task ahead of better ranked ones. */
  readonly firstTaskAfterS: number;
  /** A head of at least this priority level that has waited this long stops lower tasks that save their progress. */
  readonly preemptionMinPriority: number;
  readonly preemptionDelayS: number;
  /** Share of the summed guarantees that is kept rented while work comes in. */
  readonly baselineCapacityShare: number;
  /** Rented capacity over what the unfinished work needs. */
  readonly capacityHeadroom: number;
  readonly scaleInAfterIdleS: number;
  /** A machine that is not up after this many times its nominal boot time is replaced. */
  readonly bootTimeoutFactor: number;
  /** Silence, in report periods, after which a machine is replaced. */
  readonly missedHeartbeatLimit: number;
  /** Life of the leader's lease. */
  readonly leaderLeaseMs: number;
}
