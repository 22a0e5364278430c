/** Rate-limited client of the cloud API: machine types, provisioning, deletion and machine list. */
import type { MachineId } from '../../core/model/ids.js';
import type { ListedMachine, MachineType, ProvisionRequest } from '../../core/model/machine.js';
import type { Endpoint } from '../configuration/settings.js';
import { type ExchangeResult, HttpClient, type NoAnswer } from '../outbound/http-client.js';
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
/** This controller's share of the total rate; only the leader sends continuously. */
const RATE_SHARE = 0.7;
/** Share of the rate for machine lists; the rest is for provisioning and deletion. */
const LIST_SHARE = 0.4;

/** Whether a queued request is still authorized; called just before it is sent. */
export type AuthorizationCheck = () => boolean;

const RATE_LIMITED: NoAnswer = {
  kind: 'none',
  sent: false,
  reason: 'rate-limited',
  message: 'request not sent: client-side rate limit reached',
};
const NOT_AUTHORIZED: NoAnswer = {
  kind: 'none',
  sent: false,
  reason: 'not-authorized',
  message: 'request not sent: no longer authorized',
};

type Operation = 'list-machine-types' | 'list-machines' | 'provision';

/** Outcome of a provision request; only `refused` proves that it creates no machines. */
export type ProvisionResult =
  | { readonly kind: 'provisioned'; readonly machines: MachineId[] }
  | { readonly kind: 'refused' }
  /** May have been executed, or may still be. */
  | { readonly kind: 'unknown' };

const REFUSED: ProvisionResult = { kind: 'refused' };
const UNKNOWN: ProvisionResult = { kind: 'unknown' };

const always: AuthorizationCheck = () => true;

/** Failures are returned, never thrown; no request is retried. */
export class CloudClient {
  private readonly http: HttpClient;
  private readonly limiter: RateLimiter;
  /** True if the last request sent got no answer, or the error `trouble`. */
  isUnavailable = false;
  /** Pages of the last complete list, each one request. */
  private pagesOfLastList = 1;

  /** `onUnexpectedAnswer` is called with the operation when an answer violates the protocol. */
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
  ): Promise<ExchangeResult> {
    if (!(await this.limiter.acquire(1, MAX_QUEUE_MS))) return RATE_LIMITED;
    if (!isAuthorized()) return NOT_AUTHORIZED;
    const timeoutMs = REQUEST_TIMEOUT_MS;
    const result = await this.http.send({ method, path, body, timeoutMs });
    const error =
      result.kind === 'answer' ? (result.body as { error?: unknown } | null)?.error : undefined;
    this.isUnavailable = result.kind === 'none' || error === 'trouble';
    return result;
  }

  /** Returns the parsed answer; null if there is none, or it is malformed or an error. */
  private read<T>(
    operation: Operation,
    result: ExchangeResult,
    parse: (body: unknown) => T | null,
  ): T | null {
    if (result.kind === 'none') {
      if (result.reason === 'not-json') this.onUnexpectedAnswer(operation);
      return null;
    }
    if (result.status !== 200) return null;
    const value = parse(result.body);
    if (value === null) this.onUnexpectedAnswer(operation);
    return value;
  }

  /** Lists the machine types that the cloud offers; null if the request fails. */
  async listMachineTypes(): Promise<MachineType[] | null> {
    const result = await this.send('GET', '/machine_types');
    return this.read('list-machine-types', result, parseMachineTypes);
  }

  /** Provisions machines. Repeating a request with the same id returns the same machines. */
  async provision(
    request: ProvisionRequest,
    isAuthorized?: AuthorizationCheck,
  ): Promise<ProvisionResult> {
    const result = await this.send(
      'POST',
      '/machines',
      encodeProvisionRequest(request),
      isAuthorized,
    );
    if (result.kind === 'none') return result.sent ? UNKNOWN : REFUSED;
    if (result.status !== 200) return REFUSED;
    const machines = this.read('provision', result, parseMachineIds);
    return machines ? { kind: 'provisioned', machines } : UNKNOWN;
  }

  /** Deletes machines permanently. Returns false if the deletion was not confirmed. */
  async deleteMachines(
    machines: readonly MachineId[],
    isAuthorized?: AuthorizationCheck,
  ): Promise<boolean> {
    const body = encodeDeletion(machines);
    const result = await this.send('POST', '/machines/delete', body, isAuthorized);
    return result.kind === 'answer' && result.status === 200;
  }

  /** Lists all machines, page by page; null if any page cannot be read. */
  async listMachines(): Promise<ListedMachine[] | null> {
    const all: ListedMachine[] = [];
    for (let pages = 1; ; pages += 1) {
      const result = await this.send(
        'GET',
        `/machines?${encodePageQuery(all.at(-1)?.id, PAGE_SIZE)}`,
      );
      const page = this.read('list-machines', result, parseMachinePage);
      if (!page) return null;
      all.push(...page.machines);
      if (page.hasMore && page.machines.length > 0) continue;
      this.pagesOfLastList = pages;
      return all;
    }
  }

  /** Pause between lists in ms, which keeps a large fleet's lists within `LIST_SHARE`. */
  get listPauseMs(): number {
    return (this.pagesOfLastList / (this.requestsPerSecond * LIST_SHARE)) * 1000;
  }

  close(): void {
    this.http.close();
  }
}
