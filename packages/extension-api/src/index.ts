/** What optional packages may know of the daemon: types only, and nothing of its insides. */
export type {
  AttemptView,
  Extension,
  ExtensionEvent,
  ExtensionModule,
  ExtensionRecord,
  ExtensionRequest,
  ExtensionRoute,
  FleetView,
  JobView,
  MachineView,
  Moment,
  OperatorAnswer,
  OperatorCall,
  RecordWrite,
  RentalKind,
} from '../../../src/core/extensions/extension.js';
export type {
  CommandTools,
  ExtensionPackage,
} from '../../../src/core/extensions/extension-package.js';
export type {
  Attempt,
  ImageName,
  Instant,
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  RequestName,
  TaskIndex,
  TeamName,
  Term,
  Ticket,
  TypeName,
  ZoneName,
} from '../../../src/core/types.js';
