/**
 * What optional packages may know of the daemon: types only, and nothing of its insides. Packages
 * import from here alone, so that the core can change without them.
 */

/** The extension interface: what a package sees of the fleet, and what it may ask for. */
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
/** What the program loads of a package: its configuration and its commands. */
export type {
  CommandTools,
  ExtensionPackage,
} from '../../../src/core/extensions/extension-package.js';
/** Records of a package in the key-value store. */
export type { ExtensionRecord, RecordWrite } from '../../../src/core/model/extension-record.js';
/** Branded identifiers. */
export type {
  AttemptId,
  FencingToken,
  ImageName,
  JobId,
  MachineId,
  MachineTypeName,
  ProvisionRequestId,
  ReplyTicket,
  TaskIndex,
  TeamName,
  ZoneName,
} from '../../../src/core/model/ids.js';
/** Jobs as users submit them. */
export type { JobSpec } from '../../../src/core/model/job.js';
/** Machine types as the cloud offers them. */
export type { MachineType } from '../../../src/core/model/machine.js';
/** A moment on the steady clock. */
export type { Instant } from '../../../src/core/model/time.js';
