/** The package as the core knows it: one instance for each leader's term. */
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
  ReplyTicket,
} from '@robinspread/extension-api';
import { DrainManager } from './core/drain-manager.js';
import type { DrainSettings } from './core/settings.js';
import { OperatorApiHandler } from './operator-api-handler.js';

/** The package's name: in its file, its routes and the prefix of its records. */
export const EXTENSION_NAME = 'drain';

/** Passes events, decisions and calls on to the drain manager and the operator API handler. */
export class DrainExtension implements Extension {
  readonly name = EXTENSION_NAME;
  private readonly manager: DrainManager;
  private readonly operatorApi: OperatorApiHandler;
  /** What calls ask for, until the next decision. */
  private readonly requests: ExtensionRequest[] = [];
  /** What events have stored, until the next decision. */
  private readonly writes: RecordWrite[] = [];

  constructor(settings: DrainSettings) {
    this.manager = new DrainManager(settings);
    this.operatorApi = new OperatorApiHandler(this.manager);
  }

  load(records: readonly ExtensionRecord[]): void {
    this.manager.load(records);
  }

  observe(event: ExtensionEvent, moment: Moment): void {
    this.writes.push(...this.manager.handleEvent(event, moment));
  }

  decide(fleet: FleetView, moment: Moment): readonly ExtensionRequest[] {
    const context = { fleet, moment, requests: this.requests.splice(0) };
    this.manager.requestWrites(this.writes.splice(0), context);
    this.manager.decide(context);
    this.operatorApi.answerStored(context);
    return context.requests;
  }

  call(
    call: OperatorCall,
    ticket: ReplyTicket,
    fleet: FleetView,
    moment: Moment,
  ): OperatorAnswer | null {
    return this.operatorApi.handleCall(call, ticket, { fleet, moment, requests: this.requests });
  }

  mayScaleIn(machine: MachineView): boolean {
    return this.manager.mayScaleIn(machine);
  }

  mayEvictReplica(attempt: AttemptView): boolean {
    return this.manager.mayEvictReplica(attempt);
  }
}
