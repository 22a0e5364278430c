/** Teams and their quotas. */
import type { TeamName } from './ids.js';

/** A team: its guaranteed share, and the quota that its tasks never exceed (`…Max`). */
export interface Team {
  readonly name: TeamName;
  readonly cpus: number;
  readonly cpusMax: number;
  readonly gpus: number;
  readonly gpusMax: number;
}
