/** Direct commands to workers: kills, which must not wait for the next check-in. */
import type { Order, Report, Term } from '../core/types.js';
import { HttpClient } from './http-client.js';
import { parseEndpoint } from './settings.js';
import { ordersOut, parseReport } from './wire.js';

const REQUEST_MS = 3000;
/** As many as machines: to close one whose orders are under way would lose kills of a large cancelled job. */
const MAX_CLIENTS = 1000;

export class WorkerClient {
  private readonly clients = new Map<string, HttpClient>();

  private at(endpoint: string): HttpClient {
    let client = this.clients.get(endpoint);
    if (!client) {
      if (this.clients.size >= MAX_CLIENTS) {
        const [oldest, old] = this.clients.entries().next().value!;
        this.clients.delete(oldest);
        old.close();
      }
      client = new HttpClient(parseEndpoint(endpoint), 2, 5000);
      this.clients.set(endpoint, client);
    }
    return client;
  }

  /** The worker's report after the commands, or null. */
  async orders(
    endpoint: string,
    term: Term,
    session: number,
    orders: readonly Order[],
  ): Promise<Report | null> {
    if (!/^[\w.-]+:\d{1,5}$/.test(endpoint)) return null;
    const body = { Baton: term, Tenure: session, Orders: ordersOut(orders) };
    const reply = await this.at(endpoint).call('POST', '/orders', body, REQUEST_MS);
    if (reply.kind !== 'answer' || (reply.status !== 200 && reply.status !== 409)) return null;
    return parseReport(reply.body);
  }
}
