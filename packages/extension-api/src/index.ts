/**
 * Public types for optional packages, which import from this module only, so that the core's
 * internals can change without affecting them.
 */

/** The extension interface: read-only views of the fleet, events and requests. */
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
/** The entry points of a package: its configuration parser and its commands. */
export type {
  CommandTools,
  ExtensionPackage,
} from '../../../src/core/extensions/extension-package.js';
/** Why an attempt was released. */
export type { AttemptRelease } from '../../../src/core/model/attempt.js';
/** Records that a package keeps in the key-value store. */
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
/** Machine types that the cloud offers. */
export type { MachineType } from '../../../src/core/model/machine.js';
/** A point on the steady clock, in milliseconds. */
export type { Instant } from '../../../src/core/model/time.js';
