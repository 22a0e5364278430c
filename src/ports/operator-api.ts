/** What a controller offers to operators: calls to extensions. */
import type { OperatorAnswer, OperatorCall } from '../core/extensions/extension.js';

/** Passes operators' calls to an extension. */
export interface OperatorApi {
  /** The extension's answer, or null when no leader answers in time. */
  handleOperatorCall(extension: string, call: OperatorCall): Promise<OperatorAnswer | null>;
}
