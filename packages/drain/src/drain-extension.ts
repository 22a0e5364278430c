/** The package's implementation of the extension interface. */
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

/** The package's name in its settings file, its routes and the prefix of its records. */
export const EXTENSION_NAME = 'drain';

/** Delegates to the drain manager and the operator API handler; one instance per leader's term. */
export class DrainExtension implements Extension {
  readonly name = EXTENSION_NAME;
  private readonly manager: DrainManager;
  private readonly operatorApi: OperatorApiHandler;
  /** Requests caused by operators' calls, for the next decision. */
  private readonly queuedRequests: ExtensionRequest[] = [];
  /** Writes caused by events, for the next decision. */
  private readonly queuedWrites: RecordWrite[] = [];

  constructor(settings: DrainSettings) {
    this.manager = new DrainManager(settings);
    this.operatorApi = new OperatorApiHandler(this.manager);
  }

  load(records: readonly ExtensionRecord[]): void {
    this.manager.load(records);
  }

  observe(event: ExtensionEvent, moment: Moment): void {
    this.queuedWrites.push(...this.manager.handleEvent(event, moment));
  }

  decide(fleet: FleetView, moment: Moment): readonly ExtensionRequest[] {
    const context = { fleet, moment, requests: this.queuedRequests.splice(0) };
    this.manager.requestWrites(this.queuedWrites.splice(0), context);
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
    return this.operatorApi.handleCall(call, ticket, {
      fleet,
      moment,
      requests: this.queuedRequests,
    });
  }

  mayScaleIn(machine: MachineView): boolean {
    return this.manager.mayScaleIn(machine);
  }

  mayEvictReplica(attempt: AttemptView): boolean {
    return this.manager.mayEvictReplica(attempt);
  }
}
