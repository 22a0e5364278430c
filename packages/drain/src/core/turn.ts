/** One decision of the package: what it sees, and what it asks for. */
import type { ExtensionRequest, FleetView, Moment } from '@robinspread/extension-api';

export interface Turn {
  readonly fleet: FleetView;
  readonly moment: Moment;
  readonly requests: ExtensionRequest[];
}
