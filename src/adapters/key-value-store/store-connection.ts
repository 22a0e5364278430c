/** Sends requests to the key-value store and tracks whether the store answers this node. */
import type { Endpoint } from '../configuration/settings.js';
import {
  type ExchangeResult,
  HttpClient,
  type HttpRequest,
  type NoAnswer,
} from '../outbound/http-client.js';
import type { StoreRates } from './store-rates.js';

/** Longest wait of a request for the rate limiter. */
export const MAX_QUEUE_MS = 1500;

const MAX_SOCKETS = 24;
const MAX_URGENT_SOCKETS = 6;
const MAX_WATCH_SOCKETS = 4;
const WATCH_IDLE_TIMEOUT_MS = 60_000;
const PROBE_DELAY_MS = 300;
const PROBE: HttpRequest = { method: 'GET', path: '/kv/probe', timeoutMs: 1600 };

const RATE_LIMITED: NoAnswer = {
  kind: 'none',
  sent: false,
  reason: 'rate-limited',
  message: 'request not sent: client-side rate limit reached',
};

/** Connections to the store, with separate sockets for urgent requests and for watches. */
export class StoreConnection {
  private readonly http: HttpClient;
  private readonly watches: HttpClient;
  /** Separate, so as not to wait for a socket behind other requests. */
  private readonly urgent: HttpClient;
  private unresponsive = false;
  private probeTimer: NodeJS.Timeout | null = null;
  private closed = false;

  constructor(
    endpoint: Endpoint,
    private readonly rates: StoreRates,
  ) {
    this.http = new HttpClient(endpoint, MAX_SOCKETS);
    this.urgent = new HttpClient(endpoint, MAX_URGENT_SOCKETS);
    this.watches = new HttpClient(endpoint, MAX_WATCH_SOCKETS, WATCH_IDLE_TIMEOUT_MS);
  }

  /** True after a request got no answer or 503, until any other answer but 429. */
  get isDown(): boolean {
    return this.unresponsive;
  }

  /** Sends a request once the rate limiter permits it, within `MAX_QUEUE_MS`. */
  async send(request: HttpRequest): Promise<ExchangeResult> {
    if (!(await this.rates.requests.acquire(1, MAX_QUEUE_MS))) return RATE_LIMITED;
    return this.record(await this.http.send(request));
  }

  /** Sends a request without waiting for the rate limiter; the next ones wait for it longer. */
  async sendUrgent(request: HttpRequest): Promise<ExchangeResult> {
    this.rates.requests.acquireImmediately(1);
    return this.record(await this.urgent.send(request));
  }

  /** Sends a long poll. The store delays its answer, which therefore does not count for `isDown`. */
  sendWatch(request: HttpRequest): Promise<ExchangeResult> {
    this.rates.requests.acquireImmediately(1);
    return this.watches.send(request);
  }

  private record(result: ExchangeResult): ExchangeResult {
    if (result.kind === 'none' || result.status === 503) {
      this.unresponsive = true;
      if (!this.closed) this.probeTimer ??= setTimeout(() => this.sendProbe(), PROBE_DELAY_MS);
    } else if (result.status !== 429) this.unresponsive = false;
    if (result.kind === 'answer') this.rates.recordAnswer(result.status === 429);
    return result;
  }

  /** Detects recovery: while the store is down, callers may send no other requests. */
  private sendProbe(): void {
    this.probeTimer = null;
    if (!this.unresponsive || this.closed) return;
    this.rates.requests.acquireImmediately(1);
    void this.http.send(PROBE).then((result) => this.record(result));
  }

  close(): void {
    this.closed = true;
    if (this.probeTimer) clearTimeout(this.probeTimer);
    this.http.close();
    this.urgent.close();
    this.watches.close();
  }
}
