/** Parses the body of a drain request. */
import type { ImageName, MachineId, MachineTypeName, ZoneName } from '@robinspread/extension-api';
import * as v from 'valibot';
import type { DrainName, DrainRequest, Selector, StepSize } from '../core/drain.js';

/** A drain's name becomes part of keys in the key-value store. */
const DRAIN_NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,39}$/;
/** Reserved, since `/api/drains/plan` is the route of another call. */
const RESERVED_NAMES = new Set(['plan']);
const MACHINE_NAME_PATTERN = /^[\w.-]{1,120}$/;

const nonEmptyText = v.pipe(v.string(), v.minLength(1, 'must not be empty'), v.maxLength(200));
const durationS = v.pipe(v.number(), v.finite(), v.minValue(0, 'must not be negative'));

const selectorSchema = v.strictObject({
  all: v.optional(v.literal(true)),
  machines: v.optional(
    v.pipe(
      v.array(v.pipe(v.string(), v.regex(MACHINE_NAME_PATTERN, 'is no name of a machine'))),
      v.minLength(1, 'must not be empty'),
    ),
  ),
  type: v.optional(nonEmptyText),
  zone: v.optional(nonEmptyText),
  spot: v.optional(v.boolean()),
  minAgeS: v.optional(durationS),
  image: v.optional(nonEmptyText),
});

const requestSchema = v.strictObject({
  name: v.pipe(
    v.string(),
    v.regex(DRAIN_NAME_PATTERN, 'must be 1 to 40 of a-z, 0-9 and -'),
    v.check((name) => !RESERVED_NAMES.has(name), 'is the name of a call'),
  ),
  select: selectorSchema,
  atOnce: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1, 'must be 1 or more'))),
  atOnceShare: v.optional(
    v.pipe(v.number(), v.gtValue(0, 'must be above 0'), v.maxValue(1, 'must not be above 1')),
  ),
  replace: v.optional(v.boolean()),
  deadlineS: v.optional(v.pipe(v.number(), v.finite(), v.gtValue(0, 'must be above 0'))),
});

/** The request, or a one-line error that names the invalid field. */
export type ParsedDrainRequest =
  | { readonly kind: 'valid'; readonly request: DrainRequest }
  | { readonly kind: 'invalid'; readonly message: string };

const invalid = (message: string): ParsedDrainRequest => ({ kind: 'invalid', message });

const toSelector = (select: v.InferOutput<typeof selectorSchema>): Selector => ({
  all: select.all ?? false,
  machines: (select.machines as MachineId[] | undefined)?.slice().sort() ?? null,
  type: (select.type as MachineTypeName | undefined) ?? null,
  zone: (select.zone as ZoneName | undefined) ?? null,
  spot: select.spot ?? null,
  minAgeS: select.minAgeS ?? null,
  image: (select.image as ImageName | undefined) ?? null,
});

const toStepSize = (atOnce: number | undefined, atOnceShare: number | undefined): StepSize =>
  atOnceShare === undefined
    ? { kind: 'count', count: atOnce ?? 1 }
    : { kind: 'share', share: atOnceShare };

/** Describes a validation issue; an unknown key is reported by its own path. */
const describeIssue = (issue: v.BaseIssue<unknown>): string => {
  const path = v.getDotPath(issue as never) ?? 'body';
  return issue.type === 'strict_object' && issue.expected === 'never'
    ? `field ${path}: unknown`
    : `field ${path}: ${issue.message}`;
};

/** Parses the body of a start or plan request; does not check it against the fleet. */
export const parseDrainRequest = (body: unknown): ParsedDrainRequest => {
  const result = v.safeParse(requestSchema, body);
  if (!result.success) return invalid(describeIssue(result.issues[0]));
  const { name, select, atOnce, atOnceShare, replace, deadlineS } = result.output;
  if (Object.keys(select).length === 0) return invalid('field select: must not be empty');
  if (atOnce !== undefined && atOnceShare !== undefined)
    return invalid('field atOnceShare: not together with atOnce');
  return {
    kind: 'valid',
    request: {
      name: name as DrainName,
      selector: toSelector(select),
      stepSize: toStepSize(atOnce, atOnceShare),
      replace: replace ?? true,
      deadlineS: deadlineS ?? null,
    },
  };
};
