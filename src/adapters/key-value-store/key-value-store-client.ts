/** The state service: wire names in, plain results out, within this node's share of its limits. */
import * as v from 'valibot';
import type { Revision } from '../../core/model/ids.js';
import type { Endpoint } from '../configuration/settings.js';
import { HttpClient, NOT_JSON, type Reply, TOO_LARGE } from '../outbound/http-client.js';
import { RateLimiter } from '../outbound/rate-limiter.js';
import { steadyNow } from '../runtime/clock.js';

export type LeaseId = number & { readonly __lease: unique symbol };

/** refused: surely not executed; unknown: it may have been, or may yet be. */
export type StoreFailure = 'refused' | 'unknown';

export interface StoredItem {
  readonly key: string;
  readonly value: unknown;
  readonly revision: Revision;
}

export type Change =
  | { readonly key: string; readonly value: unknown; readonly revision: Revision }
  | { readonly key: string; readonly deleted: true; readonly revision: Revision };

export type Mutation =
  | { readonly put: string; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly del: string };

export interface Precondition {
  readonly key: string;
  readonly revision: Revision;
}

const revision = v.pipe(v.number(), v.integer(), v.minValue(0));
const itemSchema = v.object({ Path: v.string(), Data: v.unknown(), Stamp: revision });
const listSchema = v.object({
  Items: v.array(itemSchema),
  More: v.nullish(v.boolean(), false),
  Epoch: revision,
});
const epochSchema = v.object({ Epoch: revision });
const holdSchema = v.object({ Hold: v.pipe(v.number(), v.integer()) });
const noLeaseSchema = v.object({ error: v.literal('no such lease') });
const changeSchema = v.union([
  v.object({ Write: v.string(), Data: v.unknown(), Stamp: revision }),
  v.object({ Delete: v.string(), Stamp: revision }),
]);
const followSchema = v.object({ Epoch: revision, News: v.nullish(v.array(changeSchema), []) });

/** Users wait 2 s for an answer about a job. */
const READ_MS = 1600;
/** Longer for what is of use late: a slow answer is better than a second try at a slow service. */
const WRITE_MS = 4000;
const LEASE_MS = 2500;
const PROBE_MS = 300;
const QUEUE_MS = 1500;

/** Requests and changes a second. */
interface Rates {
  readonly rps: number;
  readonly writeRps: number;
}

export interface RateShares extends Rates {
  /** What is left of them once the service has lowered its limits, which only its refusals tell. */
  readonly lowered: Rates;
}

/** After a refusal for the rate the lower shares hold for this long; should the limits be as before, the higher ones return. */
const LOWERED_MS = 20_000;

const path = (params: Record<string, string | number | undefined>): string =>
  Object.entries(params)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${encodeURIComponent(String(value)).replace(/%2F/g, '/')}`)
    .join('&');

export class KeyValueStoreClient {
  private readonly http: HttpClient;
  private readonly watches: HttpClient;
  /** Of its own, so that a lease never waits behind other requests. */
  private readonly leases: HttpClient;
  private readonly requests: RateLimiter;
  private readonly writes: RateLimiter;
  /** The service did not answer, and has not since: users' requests need not wait to learn it again. */
  private failing = false;
  private probe: NodeJS.Timeout | null = null;
  private closed = false;
  private loweredUntil = 0;
  private writeScale = 1;

  constructor(
    at: Endpoint,
    private readonly shares: RateShares,
    /** Told of answers that are none of the protocol's, by what was asked. */
    private readonly onOdd: (asked: string) => void = () => {},
  ) {
    this.http = new HttpClient(at, 24);
    this.leases = new HttpClient(at, 6);
    this.watches = new HttpClient(at, 4, 60_000);
    this.requests = new RateLimiter(shares.rps, shares.rps);
    this.writes = new RateLimiter(shares.writeRps, shares.writeRps);
  }

  /** True while the service is known not to answer this node. */
  get isDown(): boolean {
    return this.failing;
  }

  private async call(
    method: string,
    target: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Reply> {
    if (!(await this.requests.take(1, QUEUE_MS))) {
      return { kind: 'none', sent: false, reason: 'too many requests waiting' };
    }
    return this.noted(await this.http.call(method, target, body, timeoutMs));
  }

  private async urgent(method: string, target: string, body: unknown): Promise<Reply> {
    this.requests.force(1);
    return this.noted(await this.leases.call(method, target, body, LEASE_MS));
  }

  private noted(reply: Reply): Reply {
    if (reply.kind === 'none' || reply.status === 503) {
      this.failing = true;
      if (!this.closed) this.probe ??= setTimeout(() => this.tryAgain(), PROBE_MS);
    } else if (reply.status !== 429) this.failing = false;
    if (reply.kind === 'answer') this.noteRate(reply.status === 429);
    return reply;
  }

  /** True while it keeps to the lower shares. */
  get isLowered(): boolean {
    return steadyNow() < this.loweredUntil;
  }

  private noteRate(refused: boolean): void {
    if (refused) this.loweredUntil = steadyNow() + LOWERED_MS;
    this.setRates();
  }

  /** From now on this many times its share of the changes. */
  scaleWrites(scale: number): void {
    this.writeScale = scale;
    this.setRates();
  }

  private setRates(): void {
    const { rps, writeRps } = this.isLowered ? this.shares.lowered : this.shares;
    this.requests.setRate(rps);
    this.writes.setRate(writeRps * this.writeScale);
  }

  /** While the service is away, this alone finds out when it is back. */
  private tryAgain(): void {
    this.probe = null;
    if (!this.failing || this.closed) return;
    this.requests.force(1);
    void this.http.call('GET', '/kv/probe', undefined, READ_MS).then((reply) => this.noted(reply));
  }

  /** What an answer that says nothing of use means; one that should not have come is told of. */
  private failed(asked: string, reply: Reply): StoreFailure {
    if (reply.kind === 'none') {
      if (reply.reason === NOT_JSON) this.onOdd(asked);
      return reply.sent ? 'unknown' : 'refused';
    }
    if (reply.status >= 500 || reply.status === 429) return 'refused';
    this.onOdd(asked);
    return 'unknown';
  }

  async get(key: string): Promise<StoredItem | 'absent' | StoreFailure> {
    const reply = await this.call('GET', `/kv/${key}`, undefined, READ_MS);
    if (reply.kind === 'answer' && reply.status === 404) return 'absent';
    if (reply.kind === 'answer' && reply.status === 200) {
      const item = v.safeParse(itemSchema, reply.body);
      if (item.success) {
        return {
          key: item.output.Path,
          value: item.output.Data,
          revision: item.output.Stamp as Revision,
        };
      }
    }
    return this.failed('get', reply);
  }

  async list(
    prefix: string,
    after: string | undefined,
    limit: number,
  ): Promise<{ items: StoredItem[]; more: boolean; revision: Revision } | StoreFailure> {
    const target = `/kv?${path({ Under: prefix, Since: after, Limit: limit })}`;
    const reply = await this.call('GET', target, undefined, WRITE_MS);
    if (reply.kind === 'answer' && reply.status === 200) {
      const page = v.safeParse(listSchema, reply.body);
      if (page.success) {
        const items = page.output.Items.map((i) => ({
          key: i.Path,
          value: i.Data,
          revision: i.Stamp as Revision,
        }));
        return { items, more: page.output.More ?? false, revision: page.output.Epoch as Revision };
      }
    }
    return this.failed('list', reply);
  }

  /** All keys under a prefix; the revision is that of the first page, so a watch from there misses nothing. */
  async listAll(
    prefix: string,
  ): Promise<{ items: StoredItem[]; revision: Revision } | StoreFailure> {
    const items: StoredItem[] = [];
    let first: Revision | null = null;
    for (;;) {
      const page = await this.list(prefix, items.at(-1)?.key, 500);
      if (typeof page === 'string') return page;
      first ??= page.revision;
      items.push(...page.items);
      if (!page.more || page.items.length === 0) return { items, revision: first };
    }
  }

  async compareAndSwap(
    guards: readonly Precondition[],
    writes: readonly Mutation[],
    maxWaitMs = QUEUE_MS,
    timeoutMs = WRITE_MS,
  ): Promise<{ revision: Revision } | 'conflict' | 'expired' | 'too-large' | StoreFailure> {
    if (!(await this.writes.take(writes.length, maxWaitMs))) return 'refused';
    const transaction = {
      Guards: guards.map((g) => ({ Path: g.key, Stamp: g.revision })),
      Apply: writes.map((w) =>
        'del' in w
          ? { Delete: w.del }
          : { Write: w.put, Data: w.value, ...(w.lease === undefined ? {} : { Hold: w.lease }) },
      ),
    };
    const reply = await this.call('POST', '/multi', transaction, timeoutMs);
    if (reply.kind === 'answer') {
      if (reply.status === 409) return 'conflict';
      // Only one reason for 400 has a name; the others are what the service finds wrong with the request itself.
      if (reply.status === 400) return v.is(noLeaseSchema, reply.body) ? 'expired' : 'too-large';
      if (reply.status === 200) {
        const body = v.safeParse(epochSchema, reply.body);
        if (body.success) return { revision: body.output.Epoch as Revision };
      }
    }
    return this.failed('transaction', reply);
  }

  async grant(lifeMs: number): Promise<LeaseId | StoreFailure> {
    const reply = await this.urgent('POST', '/holds', { LifeMs: lifeMs });
    if (reply.kind === 'answer' && reply.status === 200) {
      const body = v.safeParse(holdSchema, reply.body);
      if (body.success) return body.output.Hold as LeaseId;
    }
    return this.failed('lease', reply);
  }

  async renew(lease: LeaseId): Promise<'ok' | 'gone' | StoreFailure> {
    const reply = await this.urgent('POST', `/holds/${lease}/renew`, {});
    if (reply.kind === 'answer' && reply.status === 200) return 'ok';
    if (reply.kind === 'answer' && reply.status === 404) return 'gone';
    return this.failed('renewal', reply);
  }

  async revoke(lease: LeaseId): Promise<void> {
    await this.urgent('DELETE', `/holds/${lease}`, undefined);
  }

  async watch(
    prefix: string,
    since: Revision,
    holdMs: number,
  ): Promise<{ revision: Revision; changes: Change[] } | 'too-old' | StoreFailure> {
    this.requests.force(1);
    const target = `/follow?${path({ Under: prefix, Since: since, HoldMs: holdMs })}`;
    const reply = await this.watches.call('GET', target, undefined, holdMs + 3000);
    if (reply.kind === 'answer' && reply.status === 410) return 'too-old';
    // A watch tells every change at once, without bound: what does not fit an answer is read again in pages.
    if (reply.kind === 'none' && reply.reason === TOO_LARGE) return 'too-old';
    if (reply.kind === 'answer' && reply.status === 200) {
      const body = v.safeParse(followSchema, reply.body);
      if (body.success) {
        const changes = (body.output.News ?? []).map(
          (c): Change =>
            'Write' in c
              ? { key: c.Write, value: c.Data, revision: c.Stamp as Revision }
              : { key: c.Delete, deleted: true, revision: c.Stamp as Revision },
        );
        return { revision: body.output.Epoch as Revision, changes };
      }
    }
    return this.failed('watch', reply);
  }

  close(): void {
    this.closed = true;
    if (this.probe) clearTimeout(this.probe);
    this.http.close();
    this.leases.close();
    this.watches.close();
  }
}
