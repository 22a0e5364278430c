/**
 * Runs extensions within the core's steps. An extension that throws is logged and skipped for the
 * rest of the step, while scheduling continues. A skipped extension consents to no disruption.
 */

import type { CoreState } from '../core-state.js';
import { logEvent } from '../log-event.js';
import type { Effect } from '../model/effect.js';
import type { ExtensionRecord, ExtensionWrites } from '../model/extension-record.js';
import type { MachineId, ProvisionRequestId, ReplyTicket } from '../model/ids.js';
import type { Instant } from '../model/time.js';
import type {
  AttemptView,
  Extension,
  ExtensionEvent,
  ExtensionRequest,
  FleetView,
  MachineView,
  Moment,
  OperatorAnswer,
  OperatorCall,
} from './extension.js';
import type { ExtensionRuntime } from './extension-runtime.js';
import { CoreFleetView } from './fleet-view.js';

/** The answer to an operator's call when the extension has thrown. */
const EXTENSION_FAILED_ANSWER: OperatorAnswer = { status: 503, body: { error: 'fault' } };

/** Runs the extensions of one term and carries out their requests. */
export class ExtensionHost implements ExtensionRuntime {
  readonly pendingWrites: ExtensionWrites[] = [];
  /** Extensions that have thrown in this step. */
  private readonly failedInStep = new Set<Extension>();
  private readonly effects: Effect[] = [];
  private readonly fleet: FleetView;
  /** Whether a call or a result has arrived since the last `decide`. */
  private isDecisionDue = false;
  private now = 0 as Instant;
  /** The extension that made each unanswered provision request. */
  private readonly provisionRequests = new Map<ProvisionRequestId, Extension>();
  /** Cordoned machines, including those not yet in the state. */
  private readonly cordonedMachines = new Set<MachineId>();

  constructor(
    private readonly state: CoreState,
    private readonly extensions: readonly Extension[],
  ) {
    this.fleet = new CoreFleetView(state);
  }

  beginStep(now: Instant): void {
    this.now = now;
    this.failedInStep.clear();
  }

  load(name: string, records: readonly ExtensionRecord[]): void {
    const extension = this.find(name);
    if (extension)
      this.callWithFallback(extension, undefined, () => extension.load(records, this.moment()));
  }

  observe(event: ExtensionEvent): void {
    for (const extension of this.extensions) this.notify(extension, event);
  }

  handleProvisionResult(event: Extract<ExtensionEvent, { kind: 'provision-result' }>): boolean {
    const extension = this.provisionRequests.get(event.request);
    if (!extension) return false;
    this.provisionRequests.delete(event.request);
    this.isDecisionDue = true;
    this.notify(extension, event);
    return true;
  }

  handleStoreResult(
    { extension: name, writes }: ExtensionWrites,
    kind: 'stored' | 'refused',
  ): void {
    const extension = this.find(name);
    if (!extension) return;
    this.isDecisionDue = true;
    this.notify(extension, { kind, writes });
  }

  call(name: string, call: OperatorCall, ticket: ReplyTicket): void {
    const extension = this.find(name);
    if (!extension) return;
    this.isDecisionDue = true;
    const answer = this.callWithFallback(extension, EXTENSION_FAILED_ANSWER, () =>
      extension.call(call, ticket, this.fleet, this.moment()),
    );
    if (answer) this.answer(ticket, answer);
  }

  mayScaleIn(machine: MachineView): boolean {
    return this.extensions.every((extension) =>
      this.callWithFallback(extension, false, () => extension.mayScaleIn(machine)),
    );
  }

  mayEvictReplica(attempt: AttemptView): boolean {
    return this.extensions.every((extension) =>
      this.callWithFallback(extension, false, () => extension.mayEvictReplica(attempt)),
    );
  }

  decide(isTickDue: boolean): void {
    // A machine that this leader has just discovered may have been cordoned under a former leader.
    for (const id of this.cordonedMachines) this.setCordoned(id, true);
    if (!isTickDue && !this.isDecisionDue) return;
    this.isDecisionDue = false;
    for (const extension of this.extensions) {
      const requests = this.callWithFallback(extension, [], () =>
        extension.decide(this.fleet, this.moment()),
      );
      for (const request of requests) this.execute(extension, request);
    }
  }

  takeEffects(): Effect[] {
    return this.effects.splice(0);
  }

  private moment(): Moment {
    return { now: this.now, wallClockMs: this.now + this.state.config.wallClockOffsetMs };
  }

  private find(name: string): Extension | undefined {
    return this.extensions.find((extension) => extension.name === name);
  }

  private notify(extension: Extension, event: ExtensionEvent): void {
    this.callWithFallback(extension, undefined, () => extension.observe(event, this.moment()));
  }

  /** Calls an extension; returns the fallback if it throws or has thrown in this step. */
  private callWithFallback<T>(extension: Extension, fallback: T, call: () => T): T {
    if (this.failedInStep.has(extension)) return fallback;
    try {
      return call();
    } catch (error) {
      this.failedInStep.add(extension);
      const { message, stack } = error as Error;
      const fields = { extension: extension.name, message, stack };
      logEvent(this.effects, 'info', 'extension failed, skipped for this step', fields);
      return fallback;
    }
  }

  private execute(extension: Extension, request: ExtensionRequest): void {
    switch (request.kind) {
      case 'cordon':
        this.cordonedMachines.add(request.machine);
        return this.setCordoned(request.machine, true);
      case 'uncordon':
        this.cordonedMachines.delete(request.machine);
        return this.setCordoned(request.machine, false);
      case 'stop':
        return this.requestStop(request);
      case 'return-machine':
        return this.drainMachine(request.machine);
      case 'provision':
        this.provisionRequests.set(request.request, extension);
        this.effects.push(request);
        return;
      case 'write':
        this.pendingWrites.push({ extension: extension.name, writes: request.writes });
        return;
      case 'answer':
        return this.answer(request.ticket, request.answer);
      case 'log':
        return logEvent(this.effects, request.level, request.text, request.fields);
      default:
        return request satisfies never;
    }
  }

  private setCordoned(id: MachineId, isCordoned: boolean): void {
    const machine = this.state.machines.get(id);
    if (!machine || machine.isCordoned === isCordoned) return;
    machine.isCordoned = isCordoned;
    this.state.isRoundDue = true;
  }

  /** Requests a stop; one that was requested earlier keeps its grace period. */
  private requestStop(request: Extract<ExtensionRequest, { kind: 'stop' }>): void {
    const { machine, attempt, graceS } = request;
    const placement = this.state.machines.get(machine)?.placements.get(attempt);
    if (placement && placement.phase !== 'ended')
      placement.stopRequest ??= { graceS, sentAt: null };
  }

  private drainMachine(id: MachineId): void {
    const machine = this.state.machines.get(id);
    if (machine) machine.isDraining = true;
  }

  private answer(ticket: ReplyTicket, answer: OperatorAnswer): void {
    this.effects.push({ kind: 'operator-answer', ticket, answer });
  }
}
