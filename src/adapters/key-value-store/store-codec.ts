/** Encodes requests to the key-value store and parses its answers. */
import * as v from 'valibot';
import type { Revision } from '../../core/model/ids.js';
import type {
  Change,
  LeaseId,
  Mutation,
  Precondition,
  StoredItem,
  WatchResult,
} from '../../ports/key-value-store.js';

const revision = v.pipe(v.number(), v.integer(), v.minValue(0));

const itemSchema = v.object({ Path: v.string(), Data: v.unknown(), Stamp: revision });

const pageSchema = v.object({
  Items: v.array(itemSchema),
  More: v.nullish(v.boolean(), false),
  Epoch: revision,
});

const commitSchema = v.object({ Epoch: revision });

const leaseSchema = v.object({ Hold: v.pipe(v.number(), v.integer()) });

const noSuchLeaseSchema = v.object({ error: v.literal('no such lease') });

const changeSchema = v.union([
  v.object({ Write: v.string(), Data: v.unknown(), Stamp: revision }),
  v.object({ Delete: v.string(), Stamp: revision }),
]);

const changesSchema = v.object({
  Epoch: revision,
  News: v.nullish(v.array(changeSchema), []),
});

/** One page of the keys under a prefix. */
export interface StoredPage {
  readonly kind: 'page';
  readonly items: StoredItem[];
  readonly hasMore: boolean;
  readonly revision: Revision;
}

const decodeItem = (item: v.InferOutput<typeof itemSchema>): StoredItem => ({
  key: item.Path,
  value: item.Data,
  revision: item.Stamp as Revision,
});

const decodeChange = (change: v.InferOutput<typeof changeSchema>): Change =>
  'Write' in change
    ? { key: change.Write, value: change.Data, revision: change.Stamp as Revision }
    : { key: change.Delete, deleted: true, revision: change.Stamp as Revision };

/** Parses an item; null if malformed. */
export const parseItem = (body: unknown): StoredItem | null => {
  const result = v.safeParse(itemSchema, body);
  return result.success ? decodeItem(result.output) : null;
};

/** Parses a page; null if malformed. */
export const parsePage = (body: unknown): StoredPage | null => {
  const result = v.safeParse(pageSchema, body);
  if (!result.success) return null;
  const { Items, More, Epoch } = result.output;
  const items = Items.map(decodeItem);
  return { kind: 'page', items, hasMore: More ?? false, revision: Epoch as Revision };
};

/** Parses the revision of a commit; null if malformed. */
export const parseCommit = (body: unknown): Revision | null => {
  const result = v.safeParse(commitSchema, body);
  return result.success ? (result.output.Epoch as Revision) : null;
};

/** Parses the id of a granted lease; null if malformed. */
export const parseLease = (body: unknown): LeaseId | null => {
  const result = v.safeParse(leaseSchema, body);
  return result.success ? (result.output.Hold as LeaseId) : null;
};

/** Whether a transaction was rejected because a lease that it names has expired. */
export const isNoSuchLease = (body: unknown): boolean => v.is(noSuchLeaseSchema, body);

/** Changes in order, and the store's revision after the last of them. */
export type StoredChanges = Extract<WatchResult, { kind: 'changes' }>;

/** Parses the changes of a watch; null if malformed. */
export const parseChanges = (body: unknown): StoredChanges | null => {
  const result = v.safeParse(changesSchema, body);
  if (!result.success) return null;
  const { Epoch, News } = result.output;
  const changes = (News ?? []).map(decodeChange);
  return { kind: 'changes', revision: Epoch as Revision, changes };
};

const encodeMutation = (mutation: Mutation) => {
  if ('del' in mutation) return { Delete: mutation.del };
  const { put, value, lease } = mutation;
  return { Write: put, Data: value, ...(lease === undefined ? {} : { Hold: lease }) };
};

/** Encodes a transaction: preconditions, and mutations that apply if all hold. */
export const encodeTransaction = (
  preconditions: readonly Precondition[],
  mutations: readonly Mutation[],
) => ({
  Guards: preconditions.map(({ key, revision: stamp }) => ({ Path: key, Stamp: stamp })),
  Apply: mutations.map(encodeMutation),
});

/** Encodes a lease request. The lease expires `ttlMs` after its grant or last renewal. */
export const encodeLeaseRequest = (ttlMs: number) => ({ LifeMs: ttlMs });

/** Slashes are not escaped, since keys are paths. */
const encodeQuery = (parameters: Record<string, string | number | undefined>): string =>
  Object.entries(parameters)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${encodeURIComponent(String(value)).replace(/%2F/g, '/')}`)
    .join('&');

/** Path of the page after the key `after`, or of the first page without it. */
export const pagePath = (prefix: string, after: string | undefined, limit: number): string =>
  `/kv?${encodeQuery({ Under: prefix, Since: after, Limit: limit })}`;

/** Path of a long poll: the store answers once a key changes, or after `pollTimeoutMs`. */
export const watchPath = (prefix: string, since: Revision, pollTimeoutMs: number): string =>
  `/follow?${encodeQuery({ Under: prefix, Since: since, HoldMs: pollTimeoutMs })}`;
