/** The cloud: machine types, provisioning, deletion and the list of machines, within its rate. */
import type { MachineId } from '../../core/model/ids.js';
import type { ListedMachine, MachineType, ProvisionRequest } from '../../core/model/machine.js';
import type { Endpoint } from '../configuration/settings.js';
import { HttpClient, type NoAnswer, type Reply } from '../outbound/http-client.js';
import { RateLimiter } from '../outbound/rate-limiter.js';
import {
  encodeDeletion,
  encodePageQuery,
  encodeProvisionRequest,
  parseMachineIds,
  parseMachinePage,
  parseMachineTypes,
} from '../wire/cloud.js';

const REQUEST_TIMEOUT_MS = 6000;
const MAX_QUEUE_MS = 3000;
const MAX_QUEUED = 20;
const PAGE_SIZE = 500;
const MAX_SOCKETS = 4;
/** All controllers share the cloud's rate; only the leader uses it steadily. */
const RATE_SHARE = 0.7;
/** Of the rate, how much lists may take; the rest is for provisioning and deletion. */
const LIST_SHARE = 0.4;

/** Asked at the moment of sending: the right to a request may end while the request waits. */
export type AuthorizationCheck = () => boolean;

const RATE_LIMITED: NoAnswer = {
  kind: 'none',
  sent: false,
  reason: 'rate-limited',
  message: 'rate',
};
const NOT_AUTHORIZED: NoAnswer = {
  kind: 'none',
  sent: false,
  reason: 'not-authorized',
  message: 'no longer entitled',
};

/** Names an operation where its answer is none of the protocol's. */
type Operation = 'list-machine-types' | 'list-machines' | 'provision';

/** How a request for machines ended. */
export type ProvisionResult =
  | { readonly kind: 'provisioned'; readonly machines: MachineId[] }
  /** Surely not carried out. */
  | { readonly kind: 'refused' }
  /** It may have been carried out, or may yet be. */
  | { readonly kind: 'unknown' };

const REFUSED: ProvisionResult = { kind: 'refused' };
const UNKNOWN: ProvisionResult = { kind: 'unknown' };

const always: AuthorizationCheck = () => true;

/** A client of the cloud's interface. */
export class CloudClient {
  private readonly http: HttpClient;
  private readonly limiter: RateLimiter;
  /** The last request got no answer, or one that says the cloud is in trouble. */
  isUnavailable = false;
  /** Requests that the last list took. */
  private pagesOfLastList = 1;

  /** `onUnexpectedAnswer` is told what was asked when the answer is none of the protocol's. */
  constructor(
    endpoint: Endpoint,
    private readonly requestsPerSecond: number,
    private readonly onUnexpectedAnswer: (operation: Operation) => void = () => {},
  ) {
    this.http = new HttpClient(endpoint, MAX_SOCKETS);
    const share = requestsPerSecond * RATE_SHARE;
    this.limiter = new RateLimiter(share, Math.max(1, share), MAX_QUEUED);
  }

  private async send(
    method: string,
    path: string,
    body?: unknown,
    isAuthorized: AuthorizationCheck = always,
  ): Promise<Reply> {
    if (!(await this.limiter.acquire(1, MAX_QUEUE_MS))) return RATE_LIMITED;
    if (!isAuthorized()) return NOT_AUTHORIZED;
    const timeoutMs = REQUEST_TIMEOUT_MS;
    const reply = await this.http.send({ method, path, body, timeoutMs });
    const error =
      reply.kind === 'answer' ? (reply.body as { error?: unknown } | null)?.error : undefined;
    this.isUnavailable = reply.kind === 'none' || error === 'trouble';
    return reply;
  }

  /** The answer's content; null when there is none, or none that can be read. */
  private read<T>(
    operation: Operation,
    reply: Reply,
    parse: (body: unknown) => T | null,
  ): T | null {
    if (reply.kind === 'none') {
      if (reply.reason === 'not-json') this.onUnexpectedAnswer(operation);
      return null;
    }
    if (reply.status !== 200) return null;
    const value = parse(reply.body);
    if (value === null) this.onUnexpectedAnswer(operation);
    return value;
  }

  /** The machine types on offer, or null when the cloud does not tell them. */
  async listMachineTypes(): Promise<MachineType[] | null> {
    const reply = await this.send('GET', '/machine_types');
    return this.read('list-machine-types', reply, parseMachineTypes);
  }

  /** Asks for new machines. A request that is repeated under its name yields the same ones. */
  async provision(
    request: ProvisionRequest,
    isAuthorized?: AuthorizationCheck,
  ): Promise<ProvisionResult> {
    const reply = await this.send(
      'POST',
      '/machines',
      encodeProvisionRequest(request),
      isAuthorized,
    );
    if (reply.kind === 'none') return reply.sent ? UNKNOWN : REFUSED;
    if (reply.status !== 200) return REFUSED;
    const machines = this.read('provision', reply, parseMachineIds);
    return machines ? { kind: 'provisioned', machines } : UNKNOWN;
  }

  /** Returns machines for good; false when it is not known to have been done. */
  async deleteMachines(
    machines: readonly MachineId[],
    isAuthorized?: AuthorizationCheck,
  ): Promise<boolean> {
    const body = encodeDeletion(machines);
    const reply = await this.send('POST', '/machines/delete', body, isAuthorized);
    return reply.kind === 'answer' && reply.status === 200;
  }

  /** All machines, page by page, or null when a page is missing. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const all: ListedMachine[] = [];
    for (let pages = 1; ; pages += 1) {
      const reply = await this.send(
        'GET',
        `/machines?${encodePageQuery(all.at(-1)?.id, PAGE_SIZE)}`,
      );
      const page = this.read('list-machines', reply, parseMachinePage);
      if (!page) return null;
      all.push(...page.machines);
      if (page.hasMore && page.machines.length > 0) continue;
      this.pagesOfLastList = pages;
      return all;
    }
  }

  /** How long to wait between lists, in ms, so that a large fleet's leave rate for the rest. */
  get listPauseMs(): number {
    return (this.pagesOfLastList / (this.requestsPerSecond * LIST_SHARE)) * 1000;
  }

  close(): void {
    this.http.close();
  }
}
