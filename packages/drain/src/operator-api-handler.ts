/**
 * Operators' calls: validated against the fleet, executed, and answered once their changes are
 * stored.
 */
import { isDeepStrictEqual } from 'node:util';
import type {
  FleetView,
  OperatorAnswer,
  OperatorCall,
  ReplyTicket,
} from '@robinspread/extension-api';
import { parseDrainRequest } from './adapters/drain-request-parser.js';
import { describeBlocker } from './core/blocker.js';
import type { DecisionContext } from './core/decision-context.js';
import {
  type Drain,
  type DrainName,
  type DrainPhase,
  type DrainRequest,
  isFinished,
} from './core/drain.js';
import type { DrainManager } from './core/drain-manager.js';
import { createDrain } from './core/drain-operations.js';
import { remainingMachines } from './core/machine-selection.js';
import { planOf } from './core/plan.js';
import { MAX_RECORD_SHARE } from './core/record-schemas.js';
import { encodeDrain } from './core/records.js';
import { queueHeadCheckFor } from './core/step-selection.js';
import { budgetsOf, detailsOf, summaryOf } from './core/views.js';

const errorAnswer = (status: number, error: string): OperatorAnswer => ({
  status,
  body: { error },
});
const NO_SUCH_DRAIN = errorAnswer(404, 'no such drain');
const FLEET_UNSETTLED = errorAnswer(503, 'a new leader waits for the machines to report');

/** The answer to a call, due once its change is stored. */
interface PendingAnswer {
  readonly ticket: ReplyTicket;
  readonly drain: Drain;
  readonly status: number;
}

type Change = 'pause' | 'resume' | 'cancel';

const PHASE_AFTER: Readonly<Record<Change, DrainPhase>> = {
  pause: 'paused',
  resume: 'running',
  cancel: 'cancelled',
};

/** Whether the change has already been made, so that a repeated call has no effect. */
const isAlreadyDone = (change: Change, { phase }: Drain): boolean =>
  phase === PHASE_AFTER[change] || (change === 'resume' && phase === 'pending');

const hasZone = (fleet: FleetView, zone: string): boolean => {
  for (const type of fleet.types.values())
    if (type.zones.some((known) => known === zone)) return true;
  return false;
};

/** Why the selector is refused, with the field's name; null if it is valid. */
const selectorRefusal = ({ request, total }: Drain, fleet: FleetView): string | null => {
  const { type, zone, machines } = request.selector;
  if (type !== null && !fleet.types.has(type))
    return `field select.type: unknown machine type ${type}`;
  if (zone !== null && !hasZone(fleet, zone)) return `field select.zone: unknown zone ${zone}`;
  const missing = machines?.find((id) => !fleet.machines.has(id));
  if (missing !== undefined) return `field select.machines: unknown machine ${missing}`;
  return total === 0 ? 'field select: no machine meets it' : null;
};

const exceedsRecordSize = (drain: Drain, { maxValueBytes }: FleetView): boolean =>
  Buffer.byteLength(JSON.stringify(encodeDrain(drain))) > maxValueBytes * MAX_RECORD_SHARE;

/** Why the machines may not leave without replacements; null if they may. */
const queueHeadRefusal = (drain: Drain, { fleet, moment }: DecisionContext): string | null => {
  const queueHead = queueHeadCheckFor(drain, fleet);
  if (!queueHead) return null;
  for (const { id } of remainingMachines(drain, fleet, moment)) {
    const blocker = queueHead.findBlocker(id);
    if (blocker) return describeBlocker(blocker);
    queueHead.markLeaving(id);
  }
  return null;
};

/** Why a drain cannot be started; null if it can. */
const refusalOf = (drain: Drain, context: DecisionContext): string | null => {
  const refusal = selectorRefusal(drain, context.fleet);
  if (refusal !== null) return refusal;
  if (exceedsRecordSize(drain, context.fleet))
    return 'field select.machines: more names than a record of the state service holds';
  return queueHeadRefusal(drain, context);
};

/** Answers operators' calls about the drains of one leader's term. */
export class OperatorApiHandler {
  private pendingAnswers: PendingAnswer[] = [];

  constructor(private readonly manager: DrainManager) {}

  /** Answers a call; returns null if the answer follows once its change is stored. */
  handleCall(
    call: OperatorCall,
    ticket: ReplyTicket,
    context: DecisionContext,
  ): OperatorAnswer | null {
    switch (call.route) {
      case 'start':
        return this.start(call.body, ticket, context);
      case 'plan':
        return this.plan(call.body, context);
      case 'list':
        return this.list(context);
      case 'budgets':
        return this.budgets(context);
      case 'status':
        return this.status(call.subject, context);
      case 'pause':
      case 'resume':
      case 'cancel':
        return this.change(call.route, call.subject, ticket, context);
      default:
        return errorAnswer(404, 'no such call');
    }
  }

  // ---- queries ----

  private list({ moment }: DecisionContext): OperatorAnswer {
    const { drains, unreadable } = this.manager.registry;
    const summaries = [...drains.values()].map((drain) => summaryOf(this.manager, drain, moment));
    return { status: 200, body: { drains: summaries, unreadable: [...unreadable] } };
  }

  private budgets({ fleet, moment }: DecisionContext): OperatorAnswer {
    return { status: 200, body: { budgets: budgetsOf(this.manager, fleet, moment) } };
  }

  private status(name: string, context: DecisionContext): OperatorAnswer {
    const { drains, unreadable } = this.manager.registry;
    if (unreadable.has(name as DrainName))
      return { status: 200, body: { name, status: 'paused', why: 'its record cannot be read' } };
    const drain = drains.get(name as DrainName);
    return drain ? this.details(drain, 200, context) : NO_SUCH_DRAIN;
  }

  private details(drain: Drain, status: number, { fleet, moment }: DecisionContext) {
    return { status, body: detailsOf(this.manager, drain, fleet, moment) };
  }

  private plan(body: unknown, context: DecisionContext): OperatorAnswer {
    const bodyWithName =
      typeof body === 'object' && body !== null ? { name: 'dry-run', ...body } : body;
    const parsed = parseDrainRequest(bodyWithName);
    if (parsed.kind === 'invalid') return errorAnswer(400, parsed.message);
    if (!context.fleet.isSettled) return FLEET_UNSETTLED;
    const drain = createDrain(parsed.request, context.fleet, context.moment);
    const refused = refusalOf(drain, context);
    return { status: 200, body: { refused, ...planOf(this.manager, drain, context) } };
  }

  // ---- new drains ----

  private start(
    body: unknown,
    ticket: ReplyTicket,
    context: DecisionContext,
  ): OperatorAnswer | null {
    const parsed = parseDrainRequest(body);
    if (parsed.kind === 'invalid') return errorAnswer(400, parsed.message);
    const { request } = parsed;
    const { drains, unreadable } = this.manager.registry;
    if (unreadable.has(request.name))
      return errorAnswer(409, 'a drain of this name cannot be read');
    const known = drains.get(request.name);
    if (known) return this.answerRepeat(known, request, ticket, context);
    if (!context.fleet.isSettled) return FLEET_UNSETTLED;
    const drain = createDrain(request, context.fleet, context.moment);
    const refusal = refusalOf(drain, context);
    if (refusal !== null) return errorAnswer(422, refusal);
    this.manager.operations.start(drain, context);
    return this.answerWhenStored({ ticket, drain, status: 201 });
  }

  private answerRepeat(
    known: Drain,
    request: DrainRequest,
    ticket: ReplyTicket,
    context: DecisionContext,
  ): OperatorAnswer | null {
    if (!isDeepStrictEqual(known.request, request))
      return errorAnswer(409, `a drain named ${request.name} was requested with another body`);
    if (!this.manager.registry.isDrainStored(known))
      return this.answerWhenStored({ ticket, drain: known, status: 200 });
    return this.details(known, 200, context);
  }

  // ---- changes ----

  private change(
    change: Change,
    name: string,
    ticket: ReplyTicket,
    context: DecisionContext,
  ): OperatorAnswer | null {
    const drain = this.manager.registry.drains.get(name as DrainName);
    if (!drain) return NO_SUCH_DRAIN;
    if (!isAlreadyDone(change, drain)) {
      if (isFinished(drain)) return errorAnswer(409, `the drain is ${drain.phase}`);
      this.manager.operations[change](drain, context);
    }
    return this.answerWhenStored({ ticket, drain, status: 200 });
  }

  private answerWhenStored(pending: PendingAnswer): null {
    this.pendingAnswers.push(pending);
    return null;
  }

  /** Answers the calls whose changes have been stored. */
  answerStored(context: DecisionContext): void {
    const stillPending: PendingAnswer[] = [];
    for (const pending of this.pendingAnswers) {
      const { ticket, drain, status } = pending;
      if (!this.manager.registry.isDrainStored(drain)) {
        stillPending.push(pending);
        continue;
      }
      const answer = this.details(drain, status, context);
      context.requests.push({ kind: 'answer', ticket, answer });
    }
    this.pendingAnswers = stillPending;
  }
}
