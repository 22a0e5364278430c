/** The port through which operators call extensions. */
import type { OperatorAnswer, OperatorCall } from '../core/extensions/extension.js';

/** Passes operators' calls to the extension on the leader, from any controller. */
export interface OperatorApi {
  /** Returns the answer, or null if no leader answers in time. */
  handleOperatorCall(extension: string, call: OperatorCall): Promise<OperatorAnswer | null>;
}
