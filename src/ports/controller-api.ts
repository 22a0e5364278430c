/** Everything that the HTTP adapter calls on a controller. */
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { HealthCheck } from './health-check.js';
import type { HeartbeatService } from './heartbeat-service.js';
import type { OperatorApi } from './operator-api.js';
import type { UserApi } from './user-api.js';

/** One controller as its HTTP interface sees it. */
export interface ControllerApi extends HeartbeatService, OperatorApi, HealthCheck {
  readonly users: UserApi;
  /** Enabled extensions; their routes are served beside the controller's own. */
  readonly extensions: readonly ExtensionModule[];
}
