/** The context of one decision of the package: what it sees, and what it asks the core for. */
import type { ExtensionRequest, FleetView, Moment } from '@robinspread/extension-api';

/** One decision; `requests` gathers what is asked for, in the order in which it is carried out. */
export interface DecisionContext {
  readonly fleet: FleetView;
  readonly moment: Moment;
  readonly requests: ExtensionRequest[];
}
