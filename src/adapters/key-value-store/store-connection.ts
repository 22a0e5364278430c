/** Requests to the key-value store, and whether it answers this node. */
import type { Endpoint } from '../configuration/settings.js';
import {
  HttpClient,
  type HttpRequest,
  type NoAnswer,
  type Reply,
} from '../outbound/http-client.js';
import type { StoreRates } from './store-rates.js';

/** How long a request may wait for its turn within the rate. */
export const MAX_QUEUE_MS = 1500;

const SOCKETS = 24;
const LEASE_SOCKETS = 6;
const WATCH_SOCKETS = 4;
const WATCH_IDLE_MS = 60_000;
const PROBE_DELAY_MS = 300;
const PROBE: HttpRequest = { method: 'GET', path: '/kv/probe', timeoutMs: 1600 };

const RATE_LIMITED: NoAnswer = {
  kind: 'none',
  sent: false,
  reason: 'rate-limited',
  message: 'too many requests waiting',
};

/** Connections to the store: those of leases and watches are apart from the others'. */
export class StoreConnection {
  private readonly http: HttpClient;
  private readonly watches: HttpClient;
  /** Of its own, so that a lease never waits behind other requests. */
  private readonly leases: HttpClient;
  private unanswered = false;
  private probe: NodeJS.Timeout | null = null;
  private closed = false;

  constructor(
    endpoint: Endpoint,
    private readonly rates: StoreRates,
  ) {
    this.http = new HttpClient(endpoint, SOCKETS);
    this.leases = new HttpClient(endpoint, LEASE_SOCKETS);
    this.watches = new HttpClient(endpoint, WATCH_SOCKETS, WATCH_IDLE_MS);
  }

  /** The store did not answer, and has not since. */
  get isDown(): boolean {
    return this.unanswered;
  }

  /** A request in its turn within the rate. */
  async send(request: HttpRequest): Promise<Reply> {
    if (!(await this.rates.requests.acquire(1, MAX_QUEUE_MS))) return RATE_LIMITED;
    return this.record(await this.http.send(request));
  }

  /** A request that must not wait: leases run out meanwhile. */
  async sendUrgently(request: HttpRequest): Promise<Reply> {
    this.rates.requests.acquireImmediately(1);
    return this.record(await this.leases.send(request));
  }

  /** A request that the store holds back until there is news: it tells nothing of its health. */
  sendWatch(request: HttpRequest): Promise<Reply> {
    this.rates.requests.acquireImmediately(1);
    return this.watches.send(request);
  }

  private record(reply: Reply): Reply {
    if (reply.kind === 'none' || reply.status === 503) {
      this.unanswered = true;
      if (!this.closed) this.probe ??= setTimeout(() => this.sendProbe(), PROBE_DELAY_MS);
    } else if (reply.status !== 429) this.unanswered = false;
    if (reply.kind === 'answer') this.rates.recordAnswer(reply.status === 429);
    return reply;
  }

  /** While the store is down, other requests may be held back: this one finds out when it is up. */
  private sendProbe(): void {
    this.probe = null;
    if (!this.unanswered || this.closed) return;
    this.rates.requests.acquireImmediately(1);
    void this.http.send(PROBE).then((reply) => this.record(reply));
  }

  close(): void {
    this.closed = true;
    if (this.probe) clearTimeout(this.probe);
    this.http.close();
    this.leases.close();
    this.watches.close();
  }
}
