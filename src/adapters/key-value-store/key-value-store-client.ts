/** The key-value store over HTTP, within this node's share of its limits. */
import type { Revision } from '../../core/model/ids.js';
import type {
  Changes,
  KeyValueStore,
  LeaseId,
  Mutation,
  Precondition,
  StoredItem,
  StoredItems,
  StoreFailure,
} from '../../service/ports/key-value-store.js';
import type { Endpoint } from '../configuration/settings.js';
import type { Reply } from '../outbound/http-client.js';
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

/** Users wait 2 s for an answer about a job. */
const READ_TIMEOUT_MS = 1600;
/** Longer for what is of use late: a slow answer is better than a second try at a slow store. */
const WRITE_TIMEOUT_MS = 4000;
const LEASE_TIMEOUT_MS = 2500;
/** A watch is answered once its hold time is over; this much later it is given up. */
const WATCH_TIMEOUT_SLACK_MS = 3000;
const PAGE_SIZE = 500;

/** Names an operation where its answer is none of the protocol's. */
type Operation = 'get' | 'list' | 'compare-and-swap' | 'grant-lease' | 'renew-lease' | 'watch';

/** A client of the key-value store. */
export class KeyValueStoreClient implements KeyValueStore {
  private readonly rates: StoreRates;
  private readonly connection: StoreConnection;

  /** `onUnexpectedAnswer` is told what was asked when the answer is none of the protocol's. */
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

  /** Whether it keeps to the lower share of the store's rates. */
  get isLowered(): boolean {
    return this.rates.isLowered;
  }

  scaleWrites(scale: number): void {
    this.rates.scaleWrites(scale);
  }

  /** What a reply means that has no content of use. */
  private failureOf(operation: Operation, reply: Reply): StoreFailure {
    if (reply.kind === 'none') {
      if (reply.reason === 'not-json') this.onUnexpectedAnswer(operation);
      return reply.sent ? 'unknown' : 'refused';
    }
    if (reply.status >= 500 || reply.status === 429) return 'refused';
    this.onUnexpectedAnswer(operation);
    return 'unknown';
  }

  async get(key: string): Promise<StoredItem | 'absent' | StoreFailure> {
    const reply = await this.connection.send({
      method: 'GET',
      path: `/kv/${key}`,
      timeoutMs: READ_TIMEOUT_MS,
    });
    if (hasStatus(reply, 404)) return 'absent';
    const item = readContent(reply, parseItem);
    return item ?? this.failureOf('get', reply);
  }

  /** One page of the keys under a prefix; `after` is the last key of the page before. */
  async list(
    prefix: string,
    after: string | undefined,
    limit: number,
  ): Promise<StoredPage | StoreFailure> {
    const reply = await this.connection.send({
      method: 'GET',
      path: pagePath(prefix, after, limit),
      timeoutMs: WRITE_TIMEOUT_MS,
    });
    return readContent(reply, parsePage) ?? this.failureOf('list', reply);
  }

  /** The revision is that of the first page: a watch from there misses no change of the others. */
  async listAll(prefix: string): Promise<StoredItems | StoreFailure> {
    const items: StoredItem[] = [];
    let revision: Revision | null = null;
    for (;;) {
      const page = await this.list(prefix, items.at(-1)?.key, PAGE_SIZE);
      if (typeof page === 'string') return page;
      revision ??= page.revision;
      items.push(...page.items);
      if (!page.hasMore || page.items.length === 0) return { items, revision };
    }
  }

  async compareAndSwap(
    preconditions: readonly Precondition[],
    mutations: readonly Mutation[],
    maxWaitMs = MAX_QUEUE_MS,
    timeoutMs = WRITE_TIMEOUT_MS,
  ): Promise<{ revision: Revision } | 'conflict' | 'expired' | 'too-large' | StoreFailure> {
    if (!(await this.rates.writes.acquire(mutations.length, maxWaitMs))) return 'refused';
    const reply = await this.connection.send({
      method: 'POST',
      path: '/multi',
      body: encodeTransaction(preconditions, mutations),
      timeoutMs,
    });
    if (hasStatus(reply, 409)) return 'conflict';
    // Only one reason for 400 has a name; by the others the store faults the request itself.
    if (hasStatus(reply, 400)) return isNoSuchLease(reply.body) ? 'expired' : 'too-large';
    const revision = readContent(reply, parseCommit);
    return revision === null ? this.failureOf('compare-and-swap', reply) : { revision };
  }

  async grantLease(lifeMs: number): Promise<LeaseId | StoreFailure> {
    const reply = await this.connection.sendUrgently({
      method: 'POST',
      path: '/holds',
      body: encodeLeaseRequest(lifeMs),
      timeoutMs: LEASE_TIMEOUT_MS,
    });
    return readContent(reply, parseLease) ?? this.failureOf('grant-lease', reply);
  }

  async renewLease(lease: LeaseId): Promise<'ok' | 'gone' | StoreFailure> {
    const reply = await this.connection.sendUrgently({
      method: 'POST',
      path: `/holds/${lease}/renew`,
      body: {},
      timeoutMs: LEASE_TIMEOUT_MS,
    });
    if (hasStatus(reply, 200)) return 'ok';
    if (hasStatus(reply, 404)) return 'gone';
    return this.failureOf('renew-lease', reply);
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    await this.connection.sendUrgently({
      method: 'DELETE',
      path: `/holds/${lease}`,
      timeoutMs: LEASE_TIMEOUT_MS,
    });
  }

  async watch(
    prefix: string,
    since: Revision,
    holdMs: number,
  ): Promise<Changes | 'too-old' | StoreFailure> {
    const reply = await this.connection.sendWatch({
      method: 'GET',
      path: watchPath(prefix, since, holdMs),
      timeoutMs: holdMs + WATCH_TIMEOUT_SLACK_MS,
    });
    if (hasStatus(reply, 410)) return 'too-old';
    // A watch tells all changes at once, without bound: the caller reads the keys again, in pages.
    if (reply.kind === 'none' && reply.reason === 'too-large') return 'too-old';
    return readContent(reply, parseChanges) ?? this.failureOf('watch', reply);
  }

  close(): void {
    this.connection.close();
  }
}

type Answer = Extract<Reply, { kind: 'answer' }>;

const hasStatus = <Status extends number>(
  reply: Reply,
  status: Status,
): reply is Answer & { readonly status: Status } =>
  reply.kind === 'answer' && reply.status === status;

/** What a successful answer holds; null when the reply is none, or is malformed. */
const readContent = <T>(reply: Reply, parse: (body: unknown) => T | null): T | null =>
  hasStatus(reply, 200) ? parse(reply.body) : null;
