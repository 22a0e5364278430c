/** The operators' policy: weights, thresholds and delays. README lists names and defaults. */

/** Policy values: `…S` in seconds, `…Ms` in milliseconds; weights multiply job scores. */
export interface Policy {
  /** Points per hour of waiting. */
  readonly ageFactor: number;
  /** Weight of the deadline score, which increases as a job's deadline approaches. */
  readonly deadlineWeight: number;
  /** Weight of the scarcity score: demand for a job's GPU types relative to the fleet's supply. */
  readonly scarcityWeight: number;
  /** Weight of the shortness score, which favours short jobs. */
  readonly shortnessWeight: number;
  /** Points per priority level, an addition of this project to the four scores. */
  readonly priorityWeight: number;
  /** Factor on a task's estimate that the deadline score assumes as its run time. */
  readonly deadlineEstimateFactor: number;
  /** Deadline score of a job with a distant deadline; 0 without a deadline or after it. */
  readonly deadlineScoreMin: number;
  /** Deadline score of a job that would end exactly at its deadline. */
  readonly deadlineScoreMax: number;
  /** After this wait, a job's first task is placed ahead of jobs that rank higher. */
  readonly firstTaskAfterS: number;
  /** Lowest priority level at which the queue head may preempt tasks with checkpoints. */
  readonly preemptionMinPriority: number;
  /** How long the queue head must have waited before it may preempt. */
  readonly preemptionDelayS: number;
  /** Share of the teams' total guarantees that stays provisioned while jobs arrive. */
  readonly baselineCapacityShare: number;
  /** Provisioned processors as a multiple of those that unfinished work needs. */
  readonly capacityHeadroom: number;
  /** A machine that has been idle for this long is deleted. */
  readonly scaleInAfterIdleS: number;
  /** A machine that is not up after this many times its nominal boot time is replaced. */
  readonly bootTimeoutFactor: number;
  /** Consecutive missed heartbeats after which a machine is replaced. */
  readonly missedHeartbeatLimit: number;
  /** Duration of the leader's lease. */
  readonly leaderLeaseMs: number;
}
