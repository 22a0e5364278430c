/** HTTP client of the key-value store, limited to this node's share of the store's rates. */
import type { Revision } from '../../core/model/ids.js';
import type {
  CompareAndSwapResult,
  GetResult,
  KeyValueStore,
  LeaseGrantResult,
  LeaseId,
  LeaseRenewalResult,
  ListResult,
  Mutation,
  Precondition,
  StoredItem,
  StoreFailure,
  WatchResult,
} from '../../ports/key-value-store.js';
import type { Endpoint } from '../configuration/settings.js';
import type { ExchangeResult, HttpRequest } from '../outbound/http-client.js';
import {
  encodeLeaseRequest,
  encodeTransaction,
  isNoSuchLease,
  pagePath,
  parseChanges,
  parseCommit,
  parseItem,
  parseLease,
  parsePage,
  type StoredPage,
  watchPath,
} from './store-codec.js';
import { MAX_QUEUE_MS, StoreConnection } from './store-connection.js';
import { type RateShares, StoreRates } from './store-rates.js';

/** Below the 2 s that users wait for an answer about a job. */
const READ_TIMEOUT_MS = 1600;
/** Longer, since late results are useful, and retries would add load to a slow store. */
const WRITE_TIMEOUT_MS = 4000;
const LEASE_TIMEOUT_MS = 2500;
/** The store answers a watch within its poll time-out; the request times out this much later. */
const WATCH_TIMEOUT_SLACK_MS = 3000;
const PAGE_SIZE = 500;

type Operation = 'get' | 'list' | 'compare-and-swap' | 'grant-lease' | 'renew-lease' | 'watch';

/** Results without data, allocated once and shared by all requests. */
const REFUSED = Object.freeze({ kind: 'refused' } as const);
const UNKNOWN = Object.freeze({ kind: 'unknown' } as const);
const ABSENT = Object.freeze({ kind: 'absent' } as const);
const CONFLICT = Object.freeze({ kind: 'conflict' } as const);
const TOO_LARGE = Object.freeze({ kind: 'too-large' } as const);
const LEASE_EXPIRED = Object.freeze({ kind: 'lease-expired' } as const);
const RENEWED = Object.freeze({ kind: 'renewed' } as const);
const TOO_OLD = Object.freeze({ kind: 'too-old' } as const);

/** The client retries no request: that is up to the caller. */
export class KeyValueStoreClient implements KeyValueStore {
  private readonly rates: StoreRates;
  private readonly connection: StoreConnection;
  private readonly isUrgent: boolean = false;

  /** `onUnexpectedAnswer` is called with the operation when an answer violates the protocol. */
  constructor(
    endpoint: Endpoint,
    shares: RateShares,
    private readonly onUnexpectedAnswer: (operation: Operation) => void = () => {},
  ) {
    this.rates = new StoreRates(shares);
    this.connection = new StoreConnection(endpoint, this.rates);
  }

  get isDown(): boolean {
    return this.connection.isDown;
  }

  /** Whether this client currently limits itself to the lowered rates. */
  get usesLoweredRates(): boolean {
    return this.rates.usesLoweredRates;
  }

  scaleWriteRate(scale: number): void {
    this.rates.scaleWriteRate(scale);
  }

  /**
   * The same client, with its connections and limits, whose requests wait for no rate limit: for the
   * few that decide whether this node leads. Under load users' questions keep the limits used up.
   */
  urgent(): KeyValueStore {
    const client: KeyValueStoreClient = Object.create(this, { isUrgent: { value: true } });
    return client;
  }

  private send(request: HttpRequest): Promise<ExchangeResult> {
    return this.isUrgent ? this.connection.sendUrgent(request) : this.connection.send(request);
  }

  private async acquireWrites(count: number, maxWaitMs: number): Promise<boolean> {
    if (!this.isUrgent) return this.rates.writes.acquire(count, maxWaitMs);
    this.rates.writes.acquireImmediately(count);
    return true;
  }

  /** Classifies the result of a failed exchange as `refused` or `unknown`. */
  private failureOf(operation: Operation, result: ExchangeResult): StoreFailure {
    if (result.kind === 'none') {
      if (result.reason === 'not-json') this.onUnexpectedAnswer(operation);
      return result.sent ? UNKNOWN : REFUSED;
    }
    if (result.status >= 500 || result.status === 429) return REFUSED;
    this.onUnexpectedAnswer(operation);
    return UNKNOWN;
  }

  async get(key: string): Promise<GetResult> {
    const result = await this.send({
      method: 'GET',
      path: `/kv/${key}`,
      timeoutMs: READ_TIMEOUT_MS,
    });
    if (hasStatus(result, 404)) return ABSENT;
    const item = readContent(result, parseItem);
    return item ? { kind: 'found', item } : this.failureOf('get', result);
  }

  /** Reads a page of the keys under a prefix; `after` is the last key of the previous page. */
  async list(
    prefix: string,
    after: string | undefined,
    limit: number,
  ): Promise<StoredPage | StoreFailure> {
    const result = await this.send({
      method: 'GET',
      path: pagePath(prefix, after, limit),
      timeoutMs: WRITE_TIMEOUT_MS,
    });
    return readContent(result, parsePage) ?? this.failureOf('list', result);
  }

  /** Returns the first page's revision, so that a watch from it misses no change of any page. */
  async listAll<T = StoredItem>(
    prefix: string,
    decode: (item: StoredItem) => T = (item) => item as T,
  ): Promise<ListResult<T>> {
    const items: T[] = [];
    let lastKey: string | undefined;
    let revision: Revision | null = null;
    for (;;) {
      const page = await this.list(prefix, lastKey, PAGE_SIZE);
      if (page.kind !== 'page') return page;
      revision ??= page.revision;
      lastKey = page.items.at(-1)?.key;
      for (const item of page.items) items.push(decode(item));
      if (!page.hasMore || page.items.length === 0) return { kind: 'listed', items, revision };
    }
  }

  async compareAndSwap(
    preconditions: readonly Precondition[],
    mutations: readonly Mutation[],
    maxWaitMs = MAX_QUEUE_MS,
    timeoutMs = WRITE_TIMEOUT_MS,
  ): Promise<CompareAndSwapResult> {
    if (!(await this.acquireWrites(mutations.length, maxWaitMs))) return REFUSED;
    const result = await this.send({
      method: 'POST',
      path: '/multi',
      body: encodeTransaction(preconditions, mutations),
      timeoutMs,
    });
    if (hasStatus(result, 409)) return CONFLICT;
    // 400 without `no such lease` is taken as a request or value over a size limit.
    if (hasStatus(result, 400)) return isNoSuchLease(result.body) ? LEASE_EXPIRED : TOO_LARGE;
    const revision = readContent(result, parseCommit);
    if (revision === null) return this.failureOf('compare-and-swap', result);
    return { kind: 'committed', revision };
  }

  async grantLease(ttlMs: number): Promise<LeaseGrantResult> {
    const result = await this.connection.sendUrgent({
      method: 'POST',
      path: '/holds',
      body: encodeLeaseRequest(ttlMs),
      timeoutMs: LEASE_TIMEOUT_MS,
    });
    const lease = readContent(result, parseLease);
    if (lease === null) return this.failureOf('grant-lease', result);
    return { kind: 'granted', lease };
  }

  async renewLease(lease: LeaseId): Promise<LeaseRenewalResult> {
    const result = await this.connection.sendUrgent({
      method: 'POST',
      path: `/holds/${lease}/renew`,
      body: {},
      timeoutMs: LEASE_TIMEOUT_MS,
    });
    if (hasStatus(result, 200)) return RENEWED;
    if (hasStatus(result, 404)) return LEASE_EXPIRED;
    return this.failureOf('renew-lease', result);
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    await this.connection.sendUrgent({
      method: 'DELETE',
      path: `/holds/${lease}`,
      timeoutMs: LEASE_TIMEOUT_MS,
    });
  }

  async watch(prefix: string, since: Revision, pollTimeoutMs: number): Promise<WatchResult> {
    const result = await this.connection.sendWatch({
      method: 'GET',
      path: watchPath(prefix, since, pollTimeoutMs),
      timeoutMs: pollTimeoutMs + WATCH_TIMEOUT_SLACK_MS,
    });
    if (hasStatus(result, 410)) return TOO_OLD;
    // A watch returns all changes in one answer. If it is too large, the caller lists the keys.
    if (result.kind === 'none' && result.reason === 'too-large') return TOO_OLD;
    return readContent(result, parseChanges) ?? this.failureOf('watch', result);
  }

  close(): void {
    this.connection.close();
  }
}

type Answer = Extract<ExchangeResult, { kind: 'answer' }>;

const hasStatus = <Status extends number>(
  result: ExchangeResult,
  status: Status,
): result is Answer & { readonly status: Status } =>
  result.kind === 'answer' && result.status === status;

/** Returns the parsed body of a valid answer with status 200, else null. */
const readContent = <T>(result: ExchangeResult, parse: (body: unknown) => T | null): T | null =>
  hasStatus(result, 200) ? parse(result.body) : null;
