/** Requests to workers: kills, which must not wait for the next heartbeat, and inspections. */
import { Agent } from 'node:http';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { FencingToken } from '../../core/model/ids.js';
import type { WorkerCommand } from '../../core/model/worker-command.js';
import { parseEndpoint } from '../configuration/settings.js';
import { exchange } from '../outbound/http-client.js';
import { encodeDirectCommands } from '../wire/workers.js';
import { parseHeartbeat } from './heartbeat-parser.js';

const REQUEST_TIMEOUT_MS = 3000;
/** Short, as a user waits for the answer. */
const INSPECTION_TIMEOUT_MS = 400;
const ENDPOINT = /^[\w.-]+:\d{1,5}$/;

/** A client of all workers, over at most `maxSockets` concurrent connections. */
export class WorkerClient {
  /**
   * Shared by all machines: cancelling a large job sends commands to many at once, and those over
   * the limit wait instead of taking sockets that heartbeats need. Connections are not kept alive,
   * since few machines are sent commands twice.
   */
  private readonly agent: Agent;

  constructor(maxSockets: number) {
    this.agent = new Agent({ keepAlive: false, maxTotalSockets: maxSockets });
  }

  /** Sends commands. Returns the heartbeat that answers them; null if none is valid. */
  async sendCommands(
    endpoint: string,
    fencingToken: FencingToken,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
  ): Promise<Heartbeat | null> {
    if (!ENDPOINT.test(endpoint)) return null;
    const result = await exchange(this.agent, parseEndpoint(endpoint), {
      method: 'POST',
      path: '/orders',
      body: encodeDirectCommands(fencingToken, agentEpoch, commands),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    if (result.kind !== 'answer') return null;
    // 409: the worker has seen a higher fencing token, which its heartbeat contains.
    if (result.status !== 200 && result.status !== 409) return null;
    return parseHeartbeat(result.body);
  }

  /** Requests the worker's present status, as a heartbeat; null without a valid answer. */
  async inspect(endpoint: string): Promise<Heartbeat | null> {
    if (!ENDPOINT.test(endpoint)) return null;
    const result = await exchange(this.agent, parseEndpoint(endpoint), {
      method: 'GET',
      path: '/inspect',
      timeoutMs: INSPECTION_TIMEOUT_MS,
    });
    return result.kind === 'answer' && result.status === 200 ? parseHeartbeat(result.body) : null;
  }
}
