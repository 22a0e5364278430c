/** Our own stand-in for the state service, written to the protocol: keys, transactions, leases, watches. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Entry {
  data: unknown;
  stamp: number;
  hold?: number | undefined;
}

interface Change {
  key: string;
  stamp: number;
  data?: unknown;
  deleted: boolean;
}

type Multi = {
  Guards?: { Path: string; Stamp: number }[];
  Apply?: { Write?: string; Delete?: string; Data?: unknown; Hold?: number }[];
};

export const readJson = async (req: IncomingMessage): Promise<unknown> => {
  let text = '';
  for await (const part of req) text += part;
  return text === '' ? null : JSON.parse(text);
};

export const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
  const text = JSON.stringify(body);
  res
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    })
    .end(text);
};

export class StateService {
  epoch = 0;
  readonly keys = new Map<string, Entry>();
  private readonly holds = new Map<number, { lifeMs: number; timer: NodeJS.Timeout }>();
  private nextHold = 1;
  private readonly changes: Change[] = [];
  private waiting: (() => void)[] = [];
  /** Answers 503 to everything, as in an outage. */
  down = false;
  /** Answers 429 to reads and transactions, as at its request limit; leases are renewed. */
  limited = false;
  /** Carries the next transactions out but never answers them. */
  swallow = 0;
  /** Drops the next transactions without carrying them out. */
  drop = 0;
  /** Of every so many transactions one is carried out at once and its answer is lost; 0: none. */
  loseEvery = 0;
  /** Of every so many transactions one gets no answer and is carried out this much later, after newer ones; 0: none. */
  lateEvery = 0;
  lateMs = 400;
  /** How many such transactions there were, and how many of the late ones were still carried out. */
  lost = 0;
  late = 0;
  lateDone = 0;
  transactions = 0;
  /** Enforced at each transaction; may be lowered at any time. */
  limits = { valueBytes: 65_536, txnOps: 1000, writeRps: Number.POSITIVE_INFINITY };
  /** Transactions that were refused with 400, as they came. */
  readonly refused: string[] = [];
  /** Transactions that were refused with 429. */
  tooMany = 0;
  private tokens = { left: Number.POSITIVE_INFINITY, at: Date.now() };
  private readonly fronts: Server[] = [];
  private readonly server: Server;

  constructor() {
    this.server = createServer((req, res) => {
      this.serve(req, res).catch(() => res.destroy());
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Another address of the same service, which can be made to answer 503 by itself. */
  async front(): Promise<{ at: string; refuse: boolean }> {
    const front = { at: '', refuse: false };
    const server = createServer((req, res) => {
      if (front.refuse) return sendJson(res, 503, { error: 'trouble' });
      this.serve(req, res).catch(() => res.destroy());
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    front.at = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    this.fronts.push(server);
    return front;
  }

  close(): void {
    for (const server of this.fronts) {
      server.closeAllConnections();
      server.close();
    }
    for (const { timer } of this.holds.values()) clearTimeout(timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  private note(key: string, deleted: boolean, data?: unknown): void {
    this.changes.push({ key, stamp: this.epoch, data, deleted });
  }

  private wake(): void {
    const waiting = this.waiting;
    this.waiting = [];
    for (const resolve of waiting) resolve();
  }

  private end(hold: number): void {
    const known = this.holds.get(hold);
    if (!known) return;
    clearTimeout(known.timer);
    this.holds.delete(hold);
    const attached = [...this.keys].filter(([, e]) => e.hold === hold);
    if (attached.length > 0) this.epoch += 1;
    for (const [key] of attached) {
      this.keys.delete(key);
      this.note(key, true);
    }
    this.wake();
  }

  private keep(hold: number, lifeMs: number): void {
    const old = this.holds.get(hold);
    if (old) clearTimeout(old.timer);
    this.holds.set(hold, { lifeMs, timer: setTimeout(() => this.end(hold), lifeMs) });
  }

  /** The fault of a transaction that is larger than the limits, or null. */
  private fault(body: Multi): string | null {
    const { valueBytes, txnOps } = this.limits;
    const apply = body.Apply ?? [];
    if (apply.length > txnOps) return `${apply.length} changes`;
    if ((body.Guards ?? []).length > 4 * txnOps) return 'too many conditions';
    const large = apply.find((a) => Buffer.byteLength(JSON.stringify(a.Data ?? null)) > valueBytes);
    return large ? `value of ${large.Write} too large` : null;
  }

  /** A bucket of one second's worth. */
  private withinRate(changes: number): boolean {
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

  multi(body: Multi): { status: number; body: unknown } {
    const failed = (body.Guards ?? []).filter(
      (g) => (this.keys.get(g.Path)?.stamp ?? 0) !== g.Stamp,
    );
    if (failed.length > 0)
      return { status: 409, body: { failed: failed.map((g) => g.Path), Epoch: this.epoch } };
    const apply = body.Apply ?? [];
    if (apply.some((a) => a.Hold !== undefined && !this.holds.has(a.Hold))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    if (apply.length > 0) this.epoch += 1;
    for (const a of apply) {
      if (a.Write !== undefined) {
        this.keys.set(a.Write, { data: a.Data, stamp: this.epoch, hold: a.Hold });
        this.note(a.Write, false, a.Data);
      } else if (a.Delete !== undefined && this.keys.delete(a.Delete)) this.note(a.Delete, true);
    }
    this.wake();
    return { status: 200, body: { Epoch: this.epoch } };
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://x');
    const body = await readJson(req);
    if (this.down) return sendJson(res, 503, { error: 'trouble' });
    if (this.limited && (url.pathname.startsWith('/kv') || url.pathname === '/multi')) {
      return sendJson(res, 429, { error: 'too many' });
    }
    const parts = url.pathname.split('/');
    if (url.pathname === '/multi') {
      this.transactions += 1;
      if (this.drop > 0) {
        this.drop -= 1;
        req.socket.destroy();
        return;
      }
      const fault = this.fault(body as Multi);
      if (fault) {
        this.refused.push(JSON.stringify(body));
        return sendJson(res, 400, { error: fault });
      }
      if (!this.withinRate((body as Multi).Apply?.length ?? 0)) {
        this.tooMany += 1;
        return sendJson(res, 429, { error: 'too many' });
      }
      if (this.lateEvery > 0 && this.transactions % this.lateEvery === 0) {
        this.late += 1;
        setTimeout(() => {
          if (this.multi(body as Multi).status === 200) this.lateDone += 1;
        }, this.lateMs);
        setTimeout(() => req.socket.destroy(), 20);
        return;
      }
      const result = this.multi(body as Multi);
      if (this.loseEvery > 0 && this.transactions % this.loseEvery === 0) {
        this.lost += 1;
        req.socket.destroy();
        return;
      }
      if (this.swallow > 0) {
        this.swallow -= 1;
        req.socket.destroy();
        return;
      }
      return sendJson(res, result.status, result.body);
    }
    if (url.pathname === '/kv') {
      const under = url.searchParams.get('Under') ?? '';
      const since = url.searchParams.get('Since') ?? '';
      const limit = Number(url.searchParams.get('Limit') ?? 1000);
      const all = [...this.keys]
        .filter(([k]) => k.startsWith(under) && k > since)
        .sort((a, b) => (a[0] < b[0] ? -1 : 1));
      const Items = all
        .slice(0, limit)
        .map(([Path, e]) => ({ Path, Data: e.data, Stamp: e.stamp }));
      return sendJson(res, 200, { Items, More: all.length > limit, Epoch: this.epoch });
    }
    if (parts[1] === 'kv') {
      const key = parts.slice(2).join('/');
      const entry = this.keys.get(key);
      if (!entry) return sendJson(res, 404, { Epoch: this.epoch });
      return sendJson(res, 200, { Path: key, Data: entry.data, Stamp: entry.stamp });
    }
    if (parts[1] === 'holds') {
      const hold = Number(parts[2]);
      if (parts.length === 2) {
        this.keep(this.nextHold, (body as { LifeMs: number }).LifeMs);
        return sendJson(res, 200, { Hold: this.nextHold++ });
      }
      const known = this.holds.get(hold);
      if (!known) return sendJson(res, 404, {});
      if (req.method === 'DELETE') this.end(hold);
      else this.keep(hold, known.lifeMs);
      return sendJson(res, 200, { Hold: hold });
    }
    if (url.pathname === '/follow') {
      const under = url.searchParams.get('Under') ?? '';
      const since = Number(url.searchParams.get('Since') ?? 0);
      const until = Date.now() + Number(url.searchParams.get('HoldMs') ?? 0);
      for (;;) {
        const news = this.changes.filter((c) => c.stamp > since && c.key.startsWith(under));
        if (news.length > 0 || Date.now() >= until || this.down) {
          const News = news.map((c) =>
            c.deleted
              ? { Delete: c.key, Stamp: c.stamp }
              : { Write: c.key, Data: c.data, Stamp: c.stamp },
          );
          return sendJson(res, 200, { Epoch: this.epoch, News });
        }
        await new Promise<void>((resolve) => {
          this.waiting.push(resolve);
          setTimeout(resolve, Math.max(1, until - Date.now()));
        });
        if (res.destroyed) return;
      }
    }
    return sendJson(res, 404, {});
  }
}
