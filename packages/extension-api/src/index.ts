/** What optional packages may know of the daemon: types only, and nothing of its insides. */

export type {
  AttemptView,
  Extension,
  ExtensionEvent,
  ExtensionModule,
  ExtensionRequest,
  ExtensionRoute,
  FleetView,
  InstancePoolView,
  JobView,
  MachineView,
  Moment,
  OperatorAnswer,
  OperatorCall,
} from '../../../src/core/extensions/extension.js';
export type {
  CommandTools,
  ExtensionPackage,
} from '../../../src/core/extensions/extension-package.js';
export type { ExtensionRecord, RecordWrite } from '../../../src/core/model/extension-record.js';
export type {
  AttemptId as Attempt,
  FencingToken as Term,
  ImageName,
  JobId,
  MachineId,
  MachineTypeName as TypeName,
  ProvisionRequestId as RequestName,
  ReplyTicket as Ticket,
  TaskIndex,
  TeamName,
  ZoneName,
} from '../../../src/core/model/ids.js';
export type { JobSpec } from '../../../src/core/model/job.js';
export type { MachineType } from '../../../src/core/model/machine.js';
export type { Instant } from '../../../src/core/model/time.js';
