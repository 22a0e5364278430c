/** Teams and their quotas. */
import type { TeamName } from './ids.js';

/** A team, with its guaranteed resources and the quota that its running tasks never exceed. */
export interface Team {
  readonly name: TeamName;
  /** Guaranteed processors. */
  readonly cpus: number;
  /** Quota of processors. */
  readonly cpusMax: number;
  /** Guaranteed GPUs. */
  readonly gpus: number;
  /** Quota of GPUs. */
  readonly gpusMax: number;
}
