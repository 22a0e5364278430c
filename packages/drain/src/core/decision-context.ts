/** The input and output of one decision of the package. */
import type { ExtensionRequest, FleetView, Moment } from '@robinspread/extension-api';

/** One decision; `requests` collects the requests to the core, in order of execution. */
export interface DecisionContext {
  readonly fleet: FleetView;
  readonly moment: Moment;
  readonly requests: ExtensionRequest[];
}
