/** The cloud's interface: types, renting, deleting, listing; within its rate. */

import type {
  MachineId,
  MachineTypeName,
  ProvisionRequestId,
  ZoneName,
} from '../../core/model/ids.js';
import type { ListedMachine, MachineType } from '../../core/model/machine.js';
import type { Endpoint } from '../configuration/settings.js';
import { HttpClient, NOT_JSON, type Reply } from '../outbound/http-client.js';
import { RateLimiter } from '../outbound/rate-limiter.js';
import { parseMachineIds, parseMachines, parseMachineTypes } from '../wire.js';

const REQUEST_MS = 6000;
const QUEUE_MS = 3000;
const PAGE = 500;
/** Of the rate, how much lists may take; the rest is for rentals and returns. */
const LIST_SHARE = 0.4;

export class CloudClient {
  private readonly http: HttpClient;
  private readonly limiter: RateLimiter;
  /** The last call got no answer, or one of trouble. */
  isAway = false;
  /** Requests that the last list took. */
  private pages = 1;

  constructor(
    at: Endpoint,
    private readonly rps: number,
    /** Told of answers that are none of the protocol's, by what was asked. */
    private readonly onOdd: (asked: string) => void = () => {},
  ) {
    this.http = new HttpClient(at, 4);
    // The bench of limits is shared by all controllers; only the leader uses it steadily.
    this.limiter = new RateLimiter(rps * 0.7, Math.max(1, rps * 0.7), 20);
  }

  /** `entitled` is asked at the moment of sending: while a request waits, the right to make it may have ended. */
  private async call(
    method: string,
    path: string,
    body?: unknown,
    entitled: () => boolean = () => true,
  ): Promise<Reply> {
    if (!(await this.limiter.take(1, QUEUE_MS)))
      return { kind: 'none', sent: false, reason: 'rate' };
    if (!entitled()) return { kind: 'none', sent: false, reason: 'no longer entitled' };
    const reply = await this.http.call(method, path, body, REQUEST_MS);
    const error =
      reply.kind === 'answer' ? (reply.body as { error?: unknown } | null)?.error : undefined;
    this.isAway = reply.kind === 'none' || error === 'trouble';
    return reply;
  }

  private read<T>(asked: string, reply: Reply, parse: (body: unknown) => T | null): T | null {
    if (reply.kind === 'none' && reply.reason === NOT_JSON) this.onOdd(asked);
    if (reply.kind === 'none' || reply.status !== 200) return null;
    const value = parse(reply.body);
    if (value === null) this.onOdd(asked);
    return value;
  }

  async listMachineTypes(): Promise<MachineType[] | null> {
    const reply = await this.call('GET', '/machine_types');
    return this.read('machine types', reply, parseMachineTypes);
  }

  async provision(
    request: ProvisionRequestId,
    type: MachineTypeName,
    zone: ZoneName,
    spot: boolean,
    count: number,
    entitled?: () => boolean,
  ): Promise<MachineId[] | 'refused' | 'unknown'> {
    const body = { Hire: request, Hull: type, Yard: zone, Loaners: spot, HowMany: count };
    const reply = await this.call('POST', '/machines', body, entitled);
    if (reply.kind === 'answer' && reply.status === 200)
      return this.read('rental', reply, parseMachineIds) ?? 'unknown';
    if (reply.kind === 'answer') return 'refused';
    return reply.sent ? 'unknown' : 'refused';
  }

  async deleteMachines(machines: readonly MachineId[], entitled?: () => boolean): Promise<boolean> {
    const reply = await this.call('POST', '/machines/delete', { Berths: machines }, entitled);
    return reply.kind === 'answer' && reply.status === 200;
  }

  async listMachines(): Promise<ListedMachine[] | null> {
    const all: ListedMachine[] = [];
    let pages = 0;
    for (;;) {
      const after = all.at(-1)?.id;
      const since = after === undefined ? '' : `Since=${encodeURIComponent(after)}&`;
      const reply = await this.call('GET', `/machines?${since}Limit=${PAGE}`);
      const page = this.read('list', reply, parseMachines);
      if (!page) return null;
      all.push(...page.machines);
      pages += 1;
      if (page.more && page.machines.length > 0) continue;
      this.pages = pages;
      return all;
    }
  }

  /** How long to wait between lists, so that those of a large fleet leave the rate to rentals and returns. */
  get listPauseMs(): number {
    return (this.pages / (this.rps * LIST_SHARE)) * 1000;
  }

  close(): void {
    this.http.close();
  }
}
