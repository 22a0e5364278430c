/** The port through which the HTTP adapter calls a controller. */
import type { ExtensionModule } from '../core/extensions/extension.js';
import type { HealthCheck } from './health-check.js';
import type { HeartbeatService } from './heartbeat-service.js';
import type { OperatorApi } from './operator-api.js';
import type { UserApi } from './user-api.js';

/** All that the HTTP API needs from a controller. */
export interface ControllerApi extends HeartbeatService, OperatorApi, HealthCheck {
  readonly users: UserApi;
  /** Enabled extensions; their routes are served in addition to the controller's. */
  readonly extensions: readonly ExtensionModule[];
}
