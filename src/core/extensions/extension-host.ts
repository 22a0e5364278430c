/**
 * Runs extensions inside the core's steps. One that throws is logged and left out for the rest of that step; scheduling
 * goes on. While it is left out, disruptions that need its consent wait.
 */

import type { CoreState } from '../core-state.js';
import { isTaskDone } from '../lifecycle/job-tasks.js';
import { logEvent } from '../log-event.js';
import type { Effect } from '../model/effect.js';
import type { ExtensionRecord } from '../model/extension-record.js';
import type { JobId, MachineId, ProvisionRequestId, ReplyTicket, TaskIndex } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import type {
  AttemptView,
  Extension,
  ExtensionEvent,
  ExtensionRequest,
  FleetView,
  MachineView,
  Moment,
  OperatorCall,
} from './extension.js';
import type { ExtensionRuntime, ExtensionWrites } from './extension-runtime.js';

const FAULT = { status: 503, body: { error: 'fault' } };

class CoreFleetView implements FleetView {
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

/** The extensions of one term, and what they have asked for. */
export class ExtensionHost implements ExtensionRuntime {
  /** Groups of writes that wait for a batch, in order. */
  readonly pendingWrites: ExtensionWrites[] = [];
  private readonly faulty = new Set<Extension>();
  private readonly effects: Effect[] = [];
  private readonly fleet: FleetView;
  /** Something came in since the extensions last decided. */
  private due = false;
  private now = 0 as Instant;
  private readonly requests = new Map<ProvisionRequestId, Extension>();
  /** Machines kept from new work, also those that have not been heard of yet. */
  private readonly cordons = new Set<MachineId>();

  constructor(
    private readonly state: CoreState,
    private readonly extensions: readonly Extension[],
  ) {
    this.fleet = new CoreFleetView(state);
  }

  /** Begins a step: extensions that threw in an earlier one are back. */
  beginStep(now: Instant): void {
    this.now = now;
    this.faulty.clear();
  }

  private moment(): Moment {
    return { now: this.now, timeOfDay: this.now + this.state.config.timeOfDayOffsetMs };
  }

  private attempt<T>(extension: Extension, fallback: T, act: () => T): T {
    if (this.faulty.has(extension)) return fallback;
    try {
      return act();
    } catch (error) {
      this.faulty.add(extension);
      const { message, stack } = error as Error;
      const fields = { extension: extension.name, message, stack };
      logEvent(this.effects, 'info', 'extension failed, left out for this step', fields);
      return fallback;
    }
  }

  private named(name: string): Extension | undefined {
    return this.extensions.find((extension) => extension.name === name);
  }

  load(name: string, records: readonly ExtensionRecord[]): void {
    const extension = this.named(name);
    if (extension) this.attempt(extension, undefined, () => extension.load(records, this.moment()));
  }

  observe(event: ExtensionEvent): void {
    for (const extension of this.extensions) {
      this.attempt(extension, undefined, () => extension.observe(event, this.moment()));
    }
  }

  /** The cloud's answer to a rental; false when no extension asked for it. */
  handleProvisionResult(event: Extract<ExtensionEvent, { kind: 'provision-result' }>): boolean {
    const extension = this.requests.get(event.request);
    if (!extension) return false;
    this.requests.delete(event.request);
    this.due = true;
    this.attempt(extension, undefined, () => extension.observe(event, this.moment()));
    return true;
  }

  /** Writes of a batch are stored, or were refused. */
  handleStoreResult(
    { extension: name, writes }: ExtensionWrites,
    kind: 'stored' | 'refused',
  ): void {
    const extension = this.named(name);
    if (!extension) return;
    this.due = true;
    this.attempt(extension, undefined, () => extension.observe({ kind, writes }, this.moment()));
  }

  call(name: string, call: OperatorCall, ticket: ReplyTicket): void {
    const extension = this.named(name);
    if (!extension) return;
    this.due = true;
    const answer = this.attempt(extension, FAULT, () =>
      extension.call(call, ticket, this.fleet, this.moment()),
    );
    if (answer) this.effects.push({ kind: 'operator-answer', ticket, answer });
  }

  mayScaleIn(machine: MachineView): boolean {
    return this.extensions.every((e) => this.attempt(e, false, () => e.mayScaleIn(machine)));
  }

  mayEvictReplica(attempt: AttemptView): boolean {
    return this.extensions.every((e) => this.attempt(e, false, () => e.mayEvictReplica(attempt)));
  }

  /** Lets the extensions decide when it is time, and carries their requests out. */
  decide(tickDue: boolean): void {
    // A machine that a new leader hears of only now may have been cordoned under the one before.
    for (const id of this.cordons) this.setCordon(id, true);
    if (!tickDue && !this.due) return;
    this.due = false;
    for (const extension of this.extensions) {
      const requests = this.attempt(extension, [], () =>
        extension.decide(this.fleet, this.moment()),
      );
      for (const request of requests) this.carryOut(extension, request);
    }
  }

  /** Effects gathered since the last call. */
  takeEffects(): Effect[] {
    return this.effects.splice(0);
  }

  private setCordon(id: MachineId, cordoned: boolean): void {
    const machine = this.state.machines.get(id);
    if (!machine || machine.isCordoned === cordoned) return;
    machine.isCordoned = cordoned;
    this.state.isRoundDue = true;
  }

  private carryOut(extension: Extension, request: ExtensionRequest): void {
    const { state } = this;
    switch (request.kind) {
      case 'cordon':
        this.cordons.add(request.machine);
        return this.setCordon(request.machine, true);
      case 'uncordon':
        this.cordons.delete(request.machine);
        return this.setCordon(request.machine, false);
      case 'stop': {
        const placement = state.machines.get(request.machine)?.placements.get(request.attempt);
        if (placement && placement.phase !== 'ended')
          placement.stopRequest ??= { graceS: request.graceS, sentAt: null };
        return;
      }
      case 'return-machine': {
        const machine = state.machines.get(request.machine);
        if (machine) machine.isDraining = true;
        return;
      }
      case 'provision':
        this.requests.set(request.request, extension);
        this.effects.push(request);
        return;
      case 'write':
        this.pendingWrites.push({ extension: extension.name, writes: request.writes });
        return;
      case 'answer':
        this.effects.push({
          kind: 'operator-answer',
          ticket: request.ticket,
          answer: request.answer,
        });
        return;
      case 'log':
        logEvent(this.effects, request.level, request.text, request.fields);
    }
  }
}
