/** Reads an operator's request for a drain; a fault names the field in one line. */
import type { ImageName, MachineId, TypeName, ZoneName } from '@robinspread/extension-api';
import * as v from 'valibot';
import type { DrainName, DrainRequest, Selector } from '../core/types.js';

/** Names that become part of a key of the state service. */
const NAME = /^[a-z0-9][a-z0-9-]{0,39}$/;
/** Names of calls, which would hide a drain. */
const RESERVED = new Set(['plan']);
const MACHINE_NAME = /^[\w.-]{1,120}$/;

const label = v.pipe(v.string(), v.minLength(1, 'must not be empty'), v.maxLength(200));
const seconds = v.pipe(v.number(), v.finite(), v.minValue(0, 'must not be negative'));

const selectorSchema = v.strictObject({
  all: v.optional(v.literal(true)),
  machines: v.optional(
    v.pipe(
      v.array(v.pipe(v.string(), v.regex(MACHINE_NAME, 'is no name of a machine'))),
      v.minLength(1, 'must not be empty'),
    ),
  ),
  type: v.optional(label),
  zone: v.optional(label),
  spot: v.optional(v.boolean()),
  minAgeS: v.optional(seconds),
  image: v.optional(label),
});

const requestSchema = v.strictObject({
  name: v.pipe(
    v.string(),
    v.regex(NAME, 'must be 1 to 40 of a-z, 0-9 and -'),
    v.check((name) => !RESERVED.has(name), 'is the name of a call'),
  ),
  select: selectorSchema,
  atOnce: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1, 'must be 1 or more'))),
  atOnceShare: v.optional(
    v.pipe(v.number(), v.gtValue(0, 'must be above 0'), v.maxValue(1, 'must not be above 1')),
  ),
  replace: v.optional(v.boolean()),
  deadlineS: v.optional(v.pipe(v.number(), v.finite(), v.gtValue(0, 'must be above 0'))),
});

/** The request, or what is wrong with it. */
export type ReadRequest = { readonly request: DrainRequest } | { readonly fault: string };

const readSelector = (select: v.InferOutput<typeof selectorSchema>): Selector => ({
  all: select.all ?? false,
  machines: (select.machines as MachineId[] | undefined)?.slice().sort() ?? null,
  type: (select.type as TypeName | undefined) ?? null,
  zone: (select.zone as ZoneName | undefined) ?? null,
  spot: select.spot ?? null,
  minAgeS: select.minAgeS ?? null,
  image: (select.image as ImageName | undefined) ?? null,
});

/** An unknown key is reported by its own name, with the path to it. */
const faultOf = (issue: v.BaseIssue<unknown>): string => {
  const path = v.getDotPath(issue as never) ?? 'body';
  return issue.type === 'strict_object' && issue.expected === 'never'
    ? `field ${path}: unknown`
    : `field ${path}: ${issue.message}`;
};

export const readRequest = (body: unknown): ReadRequest => {
  const result = v.safeParse(requestSchema, body);
  if (!result.success) return { fault: faultOf(result.issues[0]) };
  const { name, select, atOnce, atOnceShare, replace, deadlineS } = result.output;
  if (Object.keys(select).length === 0) return { fault: 'field select: must not be empty' };
  if (atOnce !== undefined && atOnceShare !== undefined)
    return { fault: 'field atOnceShare: not together with atOnce' };
  const stepSize =
    atOnceShare !== undefined
      ? ({ kind: 'share', share: atOnceShare } as const)
      : ({ kind: 'count', count: atOnce ?? 1 } as const);
  return {
    request: {
      name: name as DrainName,
      selector: readSelector(select),
      stepSize,
      replace: replace ?? true,
      deadlineS: deadlineS ?? null,
    },
  };
};
