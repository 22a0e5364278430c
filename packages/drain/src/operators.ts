/** Operators' calls: checked against the fleet, carried out, and answered once what they change is stored. */
import type {
  FleetView,
  MachineId,
  Moment,
  OperatorAnswer,
  OperatorCall,
  Ticket,
} from '@robinspread/extension-api';
import { readRequest } from './adapters/request-form.js';
import { type Drains, isFinished } from './core/drains.js';
import { HeadGuard } from './core/head-check.js';
import { planOf } from './core/plan.js';
import { writeDrain } from './core/records.js';
import { membersOf } from './core/selection.js';
import type { Turn } from './core/turn.js';
import { type Drain, type DrainName, type DrainRequest, describeBlocker } from './core/types.js';
import { budgetsOf, detailsOf, summaryOf } from './core/views.js';

/** Of a value, how much the record of a drain may fill. */
const RECORD_SHARE = 0.9;

const fault = (status: number, error: string): OperatorAnswer => ({ status, body: { error } });
const NO_SUCH_DRAIN = fault(404, 'no such drain');
const UNSETTLED = fault(503, 'a new leader waits for the machines to report');

interface Waiting {
  readonly ticket: Ticket;
  readonly drain: Drain;
  readonly status: number;
}

type Change = 'pause' | 'resume' | 'cancel';

export class Operators {
  /** Calls whose change is not stored yet. */
  private waiting: Waiting[] = [];

  constructor(private readonly drains: Drains) {}

  /** Answers a call, or keeps its ticket until what it changes is stored. */
  call(call: OperatorCall, ticket: Ticket, turn: Turn): OperatorAnswer | null {
    switch (call.route) {
      case 'start':
        return this.start(call.body, ticket, turn);
      case 'plan':
        return this.plan(call.body, turn);
      case 'list':
        return this.list(turn);
      case 'budgets':
        return { status: 200, body: { budgets: budgetsOf(this.drains, turn.fleet, turn.moment) } };
      case 'status':
        return this.status(call.subject, turn);
      case 'pause':
      case 'resume':
      case 'cancel':
        return this.change(call.route, call.subject, ticket, turn);
      default:
        return fault(404, 'no such call');
    }
  }

  private list({ moment }: Turn): OperatorAnswer {
    const drains = [...this.drains.all.values()].map((drain) =>
      summaryOf(this.drains, drain, moment),
    );
    return { status: 200, body: { drains, unreadable: [...this.drains.unreadable] } };
  }

  private status(name: string, turn: Turn): OperatorAnswer {
    if (this.drains.unreadable.has(name as DrainName))
      return { status: 200, body: { name, status: 'paused', why: 'its record cannot be read' } };
    const drain = this.drains.all.get(name as DrainName);
    if (!drain) return NO_SUCH_DRAIN;
    return { status: 200, body: detailsOf(this.drains, drain, turn.fleet, turn.moment) };
  }

  // ---- new drains --------------------------------------------------------------------------------

  private start(body: unknown, ticket: Ticket, turn: Turn): OperatorAnswer | null {
    const read = readRequest(body);
    if ('fault' in read) return fault(400, read.fault);
    const { request } = read;
    if (this.drains.unreadable.has(request.name))
      return fault(409, 'a drain of this name cannot be read');
    const known = this.drains.all.get(request.name);
    if (known) return this.repeat(known, request, ticket, turn);
    if (!turn.fleet.isSettled) return UNSETTLED;
    const drain = newDrain(request, turn.fleet, turn.moment);
    const refusal = this.refusal(drain, turn);
    if (refusal !== null) return fault(422, refusal);
    this.drains.add(drain, turn);
    return this.whenStored(ticket, drain, 201);
  }

  private repeat(
    known: Drain,
    request: DrainRequest,
    ticket: Ticket,
    turn: Turn,
  ): OperatorAnswer | null {
    if (JSON.stringify(known.request) !== JSON.stringify(request))
      return fault(409, `a drain named ${request.name} was requested with another body`);
    if (!this.drains.isStored(known)) return this.whenStored(ticket, known, 200);
    return { status: 200, body: detailsOf(this.drains, known, turn.fleet, turn.moment) };
  }

  /** Why a drain cannot be taken up, naming the field. */
  private refusal(drain: Drain, turn: Turn): string | null {
    const { fleet, moment } = turn;
    const { type, zone, machines } = drain.request.selector;
    if (type !== null && !fleet.types.has(type))
      return `field select.type: unknown machine type ${type}`;
    if (zone !== null && !hasZone(fleet, zone)) return `field select.zone: unknown zone ${zone}`;
    const missing = machines?.find((id) => !fleet.machines.has(id));
    if (missing !== undefined) return `field select.machines: unknown machine ${missing}`;
    if (drain.total === 0) return 'field select: no machine meets it';
    const bytes = Buffer.byteLength(JSON.stringify(writeDrain(drain)));
    if (bytes > fleet.maxValueBytes * RECORD_SHARE)
      return 'field select.machines: more names than a record of the state service holds';
    if (drain.request.replace) return null;
    const guard = new HeadGuard(fleet);
    for (const { id } of membersOf(drain, fleet, moment)) {
      const blocker = guard.blocker(id);
      if (blocker) return describeBlocker(blocker);
      guard.letGo(id);
    }
    return null;
  }

  private plan(body: unknown, turn: Turn): OperatorAnswer {
    const named = typeof body === 'object' && body !== null ? { name: 'dry-run', ...body } : body;
    const read = readRequest(named);
    if ('fault' in read) return fault(400, read.fault);
    if (!turn.fleet.isSettled) return UNSETTLED;
    const drain = newDrain(read.request, turn.fleet, turn.moment);
    const refusal = this.refusal(drain, turn);
    const plan = planOf(this.drains, drain, turn);
    return { status: 200, body: { refused: refusal, ...plan } };
  }

  // ---- changes -----------------------------------------------------------------------------------

  private change(change: Change, name: string, ticket: Ticket, turn: Turn): OperatorAnswer | null {
    const drain = this.drains.all.get(name as DrainName);
    if (!drain) return NO_SUCH_DRAIN;
    const wanted = { pause: 'paused', resume: 'running', cancel: 'cancelled' }[change];
    const already = drain.phase === wanted || (change === 'resume' && drain.phase === 'pending');
    if (!already) {
      if (isFinished(drain)) return fault(409, `the drain is ${drain.phase}`);
      if (change === 'cancel') this.drains.cancel(drain, turn);
      else if (change === 'resume') this.drains.resume(drain, turn);
      else this.drains.setPhase(drain, 'paused', 'an operator paused it', turn);
    }
    return this.whenStored(ticket, drain, 200);
  }

  private whenStored(ticket: Ticket, drain: Drain, status: number): null {
    this.waiting.push({ ticket, drain, status });
    return null;
  }

  /** Answers the calls whose change is stored by now. */
  settle(turn: Turn): void {
    const still: Waiting[] = [];
    for (const waiting of this.waiting) {
      const { ticket, drain, status } = waiting;
      if (!this.drains.isStored(drain)) {
        still.push(waiting);
        continue;
      }
      const body = detailsOf(this.drains, drain, turn.fleet, turn.moment);
      turn.requests.push({ kind: 'answer', ticket, answer: { status, body } });
    }
    this.waiting = still;
  }
}

const hasZone = (fleet: FleetView, zone: string): boolean => {
  for (const type of fleet.types.values())
    if (type.zones.some((known) => known === zone)) return true;
  return false;
};

const newestMachine = (fleet: FleetView): MachineId => {
  let newest = '' as MachineId;
  for (const id of fleet.machines.keys()) if (id > newest) newest = id;
  return newest;
};

/** A drain that has not begun, for the machines that there are now. */
const newDrain = (request: DrainRequest, fleet: FleetView, moment: Moment): Drain => {
  const { timeOfDay } = moment;
  const drain: Drain = {
    request,
    phase: 'pending',
    pausedBecause: null,
    startedAt: timeOfDay,
    lastMachine: newestMachine(fleet),
    total: 0,
    returned: 0,
    failed: 0,
    step: 0,
    deadlineAt: request.deadlineS === null ? null : timeOfDay + request.deadlineS * 1000,
    current: new Map(),
  };
  return { ...drain, total: membersOf(drain, fleet, moment).length };
};
