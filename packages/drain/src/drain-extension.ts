/** The package as the daemon knows it: one for each term of leadership. */
import type {
  AttemptView,
  Extension,
  ExtensionEvent,
  ExtensionRecord,
  ExtensionRequest,
  FleetView,
  MachineView,
  Moment,
  OperatorAnswer,
  OperatorCall,
  RecordWrite,
  Ticket,
} from '@robinspread/extension-api';
import { Drains } from './core/drains.js';
import type { DrainSettings } from './core/settings.js';
import { Operators } from './operators.js';

export const NAME = 'drain';

export class DrainExtension implements Extension {
  readonly name = NAME;
  readonly drains: Drains;
  private readonly operators: Operators;
  /** What events and calls ask for, until the next decision. */
  private readonly requests: ExtensionRequest[] = [];
  private readonly writes: RecordWrite[] = [];

  constructor(settings: DrainSettings) {
    this.drains = new Drains(settings);
    this.operators = new Operators(this.drains);
  }

  load(records: readonly ExtensionRecord[]): void {
    this.drains.load(records);
  }

  observe(event: ExtensionEvent, moment: Moment): void {
    this.writes.push(...this.drains.observe(event, moment));
  }

  decide(fleet: FleetView, moment: Moment): readonly ExtensionRequest[] {
    const turn = { fleet, moment, requests: this.requests.splice(0) };
    this.drains.storeLater(this.writes.splice(0), turn);
    this.drains.decide(turn);
    this.operators.settle(turn);
    return turn.requests;
  }

  call(
    call: OperatorCall,
    ticket: Ticket,
    fleet: FleetView,
    moment: Moment,
  ): OperatorAnswer | null {
    return this.operators.call(call, ticket, { fleet, moment, requests: this.requests });
  }

  mayScaleIn(machine: MachineView): boolean {
    return this.drains.mayReturn(machine);
  }

  mayEvictReplica(attempt: AttemptView): boolean {
    return this.drains.mayMove(attempt);
  }
}
