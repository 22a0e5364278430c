/** The operators' policy: weights, thresholds and delays. README has each name and default. */

/** Operators' policy. `…S` are seconds, `…Ms` milliseconds; weights multiply a job's scores. */
export interface Policy {
  /** Points for each hour of waiting. */
  readonly ageFactor: number;
  /** Weight of the deadline score, which grows as a job's deadline comes near. */
  readonly deadlineWeight: number;
  /** Weight of the scarcity score: the demand for a job's GPU types over what the fleet has. */
  readonly scarcityWeight: number;
  /** Weight of the shortness score: short jobs first. */
  readonly shortnessWeight: number;
  /** Points for each level of the job's own priority: our addition to the four scores. */
  readonly priorityWeight: number;
  /** The deadline score takes a task to last this many times its estimate. */
  readonly deadlineEstimateFactor: number;
  /** Deadline score of a job whose deadline is far. Without a deadline, or past it: 0. */
  readonly deadlineScoreMin: number;
  /** Deadline score of a job that would end just at its deadline. */
  readonly deadlineScoreMax: number;
  /** A job that has waited this long gets its first task ahead of better ranked ones. */
  readonly firstTaskAfterS: number;
  /** Lowest priority level at which the head of the queue may preempt tasks with checkpoints. */
  readonly preemptionMinPriority: number;
  /** How long the head must have waited before it may preempt. */
  readonly preemptionDelayS: number;
  /** Share of the teams' summed guarantees that is kept provisioned while work comes in. */
  readonly baselineCapacityShare: number;
  /** Provisioned processors, as a multiple of what the unfinished work needs. */
  readonly capacityHeadroom: number;
  /** A machine that has been idle for this long goes back to the cloud. */
  readonly scaleInAfterIdleS: number;
  /** A machine that is not up after this many times its nominal boot time is replaced. */
  readonly bootTimeoutFactor: number;
  /** Heartbeats missed in a row after which a machine is replaced. */
  readonly missedHeartbeatLimit: number;
  /** Life of the leader's lease. */
  readonly leaderLeaseMs: number;
}
