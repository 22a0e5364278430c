/**
 * A stand-in for the key-value store that implements its protocol: keys, guarded transactions,
 * leases and watches. Tests inject outages, limits, lost answers and delayed transactions.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readJson, sendJson } from './http.js';

/** The entry of a key. */
interface Entry {
  readonly value: unknown;
  readonly revision: number;
  readonly lease: number | undefined;
}

/** A change of a key, for watches. */
interface Change {
  readonly key: string;
  readonly revision: number;
  readonly value?: unknown;
  readonly deleted: boolean;
}

/** A transaction, in protocol format. */
interface Transaction {
  readonly Guards?: readonly { readonly Path: string; readonly Stamp: number }[];
  readonly Apply?: readonly {
    readonly Write?: string;
    readonly Delete?: string;
    readonly Data?: unknown;
    readonly Hold?: number;
  }[];
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

/** How long after a request that is executed late its connection is closed. */
const DISCONNECT_AFTER_MS = 20;
/** Maximum number of items on a page of a list. */
const PAGE_SIZE = 1000;

/** One store behind one or more HTTP servers. */
export class KeyValueStoreServer {
  revision = 0;
  readonly keys = new Map<string, Entry>();
  private readonly leases = new Map<number, { lifeMs: number; timer: NodeJS.Timeout }>();
  private nextLease = 1;
  private readonly changes: Change[] = [];
  private pendingWatches: (() => void)[] = [];
  /** Answers 503 to every request, as in an outage. */
  isDown = false;
  /** Answers 429 to reads and transactions, as at its request limit; still serves leases. */
  isRateLimited = false;
  /** Number of next transactions that are executed but not answered. */
  answersToLose = 0;
  /** Number of next transactions that are dropped unexecuted. */
  requestsToDrop = 0;
  /** Every n-th transaction is executed at once, and its answer is lost; 0: none. */
  loseAnswerEvery = 0;
  /** Every n-th transaction is executed `delayMs` later, after newer ones, unanswered; 0: none. */
  delayEvery = 0;
  delayMs = 400;
  /** Numbers of transactions with a lost answer, of delayed ones, and of those then committed. */
  lostAnswers = 0;
  delayedTransactions = 0;
  delayedCommits = 0;
  transactionCount = 0;
  /** Checked at each transaction; may be lowered at any time. */
  limits = { valueBytes: 65_536, txnOps: 1000, writeRps: Number.POSITIVE_INFINITY };
  /** Transactions that were rejected with 400 for their size, as JSON. */
  readonly rejectedTransactions: string[] = [];
  /** Number of transactions that were rejected with 429. */
  rateLimitedCount = 0;
  private tokens = { left: Number.POSITIVE_INFINITY, at: Date.now() };
  private readonly endpointServers: Server[] = [];
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  /** Starts the server; returns its address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Opens another address of the store; with `isDown` it alone answers 503. */
  async openEndpoint(): Promise<{ address: string; isDown: boolean }> {
    const endpoint = { address: '', isDown: false };
    const server = createServer((req, res) => {
      if (endpoint.isDown) return sendJson(res, 503, { error: 'trouble' });
      this.serve(req, res).catch(() => res.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    endpoint.address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    this.endpointServers.push(server);
    return endpoint;
  }

  /** Stops all servers and lease timers. */
  close(): void {
    for (const server of this.endpointServers) {
      server.closeAllConnections();
      server.close();
    }
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private recordChange(key: string, deleted: boolean, value?: unknown): void {
    this.changes.push({ key, revision: this.revision, value, deleted });
  }

  private wakeWatches(): void {
    const pending = this.pendingWatches;
    this.pendingWatches = [];
    for (const resolve of pending) resolve();
  }

  private endLease(lease: number): void {
    const known = this.leases.get(lease);
    if (!known) return;
    clearTimeout(known.timer);
    this.leases.delete(lease);
    const attached = [...this.keys].filter(([, entry]) => entry.lease === lease);
    if (attached.length > 0) this.revision += 1;
    for (const [key] of attached) {
      this.keys.delete(key);
      this.recordChange(key, true);
    }
    this.wakeWatches();
  }

  private renewLease(lease: number, lifeMs: number): void {
    const renewed = this.leases.get(lease);
    if (renewed) clearTimeout(renewed.timer);
    this.leases.set(lease, { lifeMs, timer: setTimeout(() => this.endLease(lease), lifeMs) });
  }

  /** Returns why a transaction exceeds the size limits, or null. */
  private findSizeFault(body: Transaction): string | null {
    const { valueBytes, txnOps } = this.limits;
    const apply = body.Apply ?? [];
    if (apply.length > txnOps) return `${apply.length} changes`;
    if ((body.Guards ?? []).length > 4 * txnOps) return 'too many conditions';
    const large = apply.find((a) => Buffer.byteLength(JSON.stringify(a.Data ?? null)) > valueBytes);
    return large ? `value of ${large.Write} too large` : null;
  }

  /** Takes a token per mutation from a bucket that holds one second's worth; false if too few. */
  private takeTokens(changes: number): boolean {
    const { writeRps } = this.limits;
    const now = Date.now();
    this.tokens.left = Math.min(
      writeRps,
      this.tokens.left + ((now - this.tokens.at) / 1000) * writeRps,
    );
    this.tokens.at = now;
    if (this.tokens.left < changes) return false;
    this.tokens.left -= changes;
    return true;
  }

  /** Executes a transaction, unless a guard fails or a lease that it names has ended. */
  commit(body: Transaction): Answer {
    const failed = (body.Guards ?? []).filter(
      (g) => (this.keys.get(g.Path)?.revision ?? 0) !== g.Stamp,
    );
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map((g) => g.Path), Epoch: this.revision } };
    const apply = body.Apply ?? [];
    if (apply.some((a) => a.Hold !== undefined && !this.leases.has(a.Hold))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    if (apply.length > 0) this.revision += 1;
    for (const a of apply) {
      if (a.Write !== undefined) {
        this.keys.set(a.Write, { value: a.Data, revision: this.revision, lease: a.Hold });
        this.recordChange(a.Write, false, a.Data);
      } else if (a.Delete !== undefined && this.keys.delete(a.Delete))
        this.recordChange(a.Delete, true);
    }
    this.wakeWatches();
    return { status: 200, body: { Epoch: this.revision } };
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://x');
    const { pathname } = url;
    const body = await readJson(req);
    if (this.isDown) return sendJson(res, 503, { error: 'trouble' });
    if (this.isRateLimited && (pathname.startsWith('/kv') || pathname === '/multi'))
      return sendJson(res, 429, { error: 'too many' });
    const [, resource, ...rest] = pathname.split('/');
    if (pathname === '/multi') return this.serveTransaction(req, res, body as Transaction);
    if (pathname === '/kv') return this.serveList(url, res);
    if (resource === 'kv') return this.serveKey(rest.join('/'), res);
    if (resource === 'holds') return this.serveLease(req, res, rest[0], body);
    if (pathname === '/follow') return this.serveWatch(url, res);
    return sendJson(res, 404, {});
  }

  private serveTransaction(req: IncomingMessage, res: ServerResponse, body: Transaction): void {
    this.transactionCount += 1;
    if (this.requestsToDrop > 0) {
      this.requestsToDrop -= 1;
      req.socket.destroy();
      return;
    }
    const fault = this.findSizeFault(body);
    if (fault) {
      this.rejectedTransactions.push(JSON.stringify(body));
      return sendJson(res, 400, { error: fault });
    }
    if (!this.takeTokens(body.Apply?.length ?? 0)) {
      this.rateLimitedCount += 1;
      return sendJson(res, 429, { error: 'too many' });
    }
    if (this.delayEvery > 0 && this.transactionCount % this.delayEvery === 0) {
      this.delayedTransactions += 1;
      setTimeout(() => {
        if (this.commit(body).status === 200) this.delayedCommits += 1;
      }, this.delayMs);
      setTimeout(() => req.socket.destroy(), DISCONNECT_AFTER_MS);
      return;
    }
    const answer = this.commit(body);
    if (this.isAnswerLost()) req.socket.destroy();
    else sendJson(res, answer.status, answer.body);
  }

  private isAnswerLost(): boolean {
    if (this.loseAnswerEvery > 0 && this.transactionCount % this.loseAnswerEvery === 0) {
      this.lostAnswers += 1;
      return true;
    }
    if (this.answersToLose === 0) return false;
    this.answersToLose -= 1;
    return true;
  }

  private serveList(url: URL, res: ServerResponse): void {
    const under = url.searchParams.get('Under') ?? '';
    const since = url.searchParams.get('Since') ?? '';
    const limit = Number(url.searchParams.get('Limit') ?? PAGE_SIZE);
    const all = [...this.keys]
      .filter(([key]) => key.startsWith(under) && key > since)
      .sort((a, b) => (a[0] < b[0] ? -1 : 1));
    const Items = all
      .slice(0, limit)
      .map(([Path, { value, revision }]) => ({ Path, Data: value, Stamp: revision }));
    sendJson(res, 200, { Items, More: all.length > limit, Epoch: this.revision });
  }

  private serveKey(key: string, res: ServerResponse): void {
    const entry = this.keys.get(key);
    if (!entry) return sendJson(res, 404, { Epoch: this.revision });
    sendJson(res, 200, { Path: key, Data: entry.value, Stamp: entry.revision });
  }

  private serveLease(
    req: IncomingMessage,
    res: ServerResponse,
    name: string | undefined,
    body: unknown,
  ): void {
    if (name === undefined) {
      this.renewLease(this.nextLease, (body as { LifeMs: number }).LifeMs);
      return sendJson(res, 200, { Hold: this.nextLease++ });
    }
    const lease = Number(name);
    const known = this.leases.get(lease);
    if (!known) return sendJson(res, 404, {});
    if (req.method === 'DELETE') this.endLease(lease);
    else this.renewLease(lease, known.lifeMs);
    sendJson(res, 200, { Hold: lease });
  }

  /** Answers once there are changes, or after `HoldMs`. */
  private async serveWatch(url: URL, res: ServerResponse): Promise<void> {
    const under = url.searchParams.get('Under') ?? '';
    const since = Number(url.searchParams.get('Since') ?? 0);
    const until = Date.now() + Number(url.searchParams.get('HoldMs') ?? 0);
    for (;;) {
      const news = this.changes.filter((c) => c.revision > since && c.key.startsWith(under));
      if (news.length > 0 || Date.now() >= until || this.isDown) {
        const News = news.map(({ key, revision, value, deleted }) =>
          deleted ? { Delete: key, Stamp: revision } : { Write: key, Data: value, Stamp: revision },
        );
        return sendJson(res, 200, { Epoch: this.revision, News });
      }
      await new Promise<void>((resolve) => {
        this.pendingWatches.push(resolve);
        setTimeout(resolve, Math.max(1, until - Date.now()));
      });
      if (res.destroyed) return;
    }
  }
}
