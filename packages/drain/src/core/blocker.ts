/** Blockers of drains and machines, and their texts for operators. */
import type { ProvisionRequestId } from '@robinspread/extension-api';
import type { MachineWork } from './machine-selection.js';

/** Why a drain, or one of its machines, cannot proceed at present. */
export type Blocker =
  | {
      readonly kind: 'budget';
      readonly scope: string;
      readonly used: number;
      readonly limit: number;
    }
  | {
      readonly kind: 'window-budget';
      readonly scope: string;
      readonly used: number;
      readonly limit: number;
      readonly withinS: number;
    }
  | { readonly kind: 'no-capacity'; readonly pool: string }
  | { readonly kind: 'replacement-booting'; readonly request: ProvisionRequestId }
  | { readonly kind: 'replacement-failed'; readonly tries: number }
  | { readonly kind: 'work-ends-by-itself'; readonly tasks: number; readonly inS: number }
  | { readonly kind: 'work-stops'; readonly tasks: number }
  | { readonly kind: 'replica-needs-room'; readonly job: string }
  | { readonly kind: 'work-runs-again'; readonly tasks: number }
  | { readonly kind: 'head-needs-it'; readonly job: string }
  | { readonly kind: 'return-unconfirmed' }
  | { readonly kind: 'being-lost' }
  | { readonly kind: 'storing' }
  | { readonly kind: 'results-kept'; readonly tasks: number }
  | { readonly kind: 'grant-lapsed'; readonly job: string }
  | { readonly kind: 'busy-elsewhere'; readonly machines: number }
  | { readonly kind: 'fleet-unsettled' };

/** The blocker's text for operators, as listed on the operators' page. */
export const describeBlocker = (blocker: Blocker): string => {
  switch (blocker.kind) {
    case 'budget':
      return blocker.limit === 0
        ? `budget of ${blocker.scope} is 0: none of its work may be disrupted`
        : `budget of ${blocker.scope}: ${blocker.used} of ${blocker.limit} disrupted`;
    case 'window-budget':
      return (
        `budget of ${blocker.scope}: ${blocker.used} of ${blocker.limit} disrupted ` +
        `within ${blocker.withinS} s`
      );
    case 'no-capacity':
      return `the cloud has no capacity for ${blocker.pool}`;
    case 'replacement-booting':
      return `its replacement (${blocker.request}) is not ready`;
    case 'replacement-failed':
      return `${blocker.tries} replacements never became ready`;
    case 'work-ends-by-itself':
      return `${blocker.tasks} tasks are let run to their end, by estimate in ${blocker.inS} s`;
    case 'work-stops':
      return `${blocker.tasks} tasks are stopping`;
    case 'replica-needs-room':
      return `a replica of ${blocker.job} finds no room elsewhere`;
    case 'work-runs-again':
      return `${blocker.tasks} tasks of the last step do not run again yet`;
    case 'head-needs-it':
      return `no other machine could ever fit ${blocker.job}, the head of the queue`;
    case 'return-unconfirmed':
      return 'the cloud has not confirmed its return';
    case 'being-lost':
      return 'it is lost, or the cloud takes it';
    case 'storing':
      return 'its last change is being stored';
    case 'results-kept':
      return `${blocker.tasks} tasks have ended, and their results are being stored`;
    case 'grant-lapsed':
      return `a replica of ${blocker.job} found no room elsewhere in time; it is tried again soon`;
    case 'busy-elsewhere':
      return (
        `${blocker.machines} machines are part of another drain, have not reported, ` +
        'or are about to go'
      );
    case 'fleet-unsettled':
      return 'a new leader waits for the machines to report';
  }
};

/** The blocker for tasks that keep a machine occupied until they finish. */
export const finishingBlocker = ({
  finishing,
  finishesInMs,
}: Pick<MachineWork, 'finishing' | 'finishesInMs'>): Blocker => ({
  kind: 'work-ends-by-itself',
  tasks: finishing.length,
  inS: Math.ceil(finishesInMs / 1000),
});
