/** The leader's state as a `FleetView` for extensions. */

import type { CoreState } from '../core-state.js';
import { isTaskDone } from '../lifecycle/job-tasks.js';
import type { JobId, TaskIndex } from '../model/ids.js';
import type { FleetView } from './extension.js';

/** Exposes the core's state without copying it. */
export class CoreFleetView implements FleetView {
  constructor(private readonly state: CoreState) {}

  get fencingToken() {
    return this.state.config.fencingToken;
  }
  get heartbeatIntervalMs() {
    return this.state.config.heartbeatIntervalMs;
  }
  get maxValueBytes() {
    return this.state.config.maxValueBytes;
  }
  get bootTimeoutFactor() {
    return this.state.config.policy.bootTimeoutFactor;
  }
  get machines() {
    return this.state.machines;
  }
  get jobs() {
    return this.state.jobs;
  }
  get types() {
    return this.state.types;
  }
  get teams() {
    return this.state.config.teams;
  }
  get instancePools() {
    return this.state.instancePools;
  }
  get queueHead() {
    return this.state.queueHead;
  }
  get isSettled() {
    return this.state.hasReadMachineList && this.state.lastTickAt >= this.state.schedulingStartsAt;
  }
  isTaskDone(id: JobId, index: TaskIndex): boolean {
    const job = this.state.jobs.get(id);
    return job !== undefined && isTaskDone(job, index);
  }
}
