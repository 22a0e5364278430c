/** Commands sent straight to workers: kills, which must not wait for the next heartbeat. */
import { Agent } from 'node:http';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { FencingToken } from '../../core/model/ids.js';
import type { WorkerCommand } from '../../core/model/worker-command.js';
import { parseEndpoint } from '../configuration/settings.js';
import { exchange } from '../outbound/http-client.js';
import { encodeDirectCommands } from '../wire/workers.js';
import { parseHeartbeat } from './heartbeat-parser.js';

const REQUEST_TIMEOUT_MS = 3000;
const ENDPOINT = /^[\w.-]+:\d{1,5}$/;

/** Sends commands to workers, over at most `maxSockets` connections at a time. */
export class WorkerClient {
  /**
   * One for all machines: commands to as many as a large cancelled job runs on go out at once, and
   * those beyond the bound wait for a socket instead of taking the ones that heartbeats need. No
   * connection is kept, since few machines are sent commands twice.
   */
  private readonly agent: Agent;

  constructor(maxSockets: number) {
    this.agent = new Agent({ keepAlive: false, maxTotalSockets: maxSockets });
  }

  /** The worker's heartbeat after the commands, or null when none that can be read came back. */
  async sendCommands(
    endpoint: string,
    fencingToken: FencingToken,
    agentEpoch: number,
    commands: readonly WorkerCommand[],
  ): Promise<Heartbeat | null> {
    if (!ENDPOINT.test(endpoint)) return null;
    const reply = await exchange(this.agent, parseEndpoint(endpoint), {
      method: 'POST',
      path: '/orders',
      body: encodeDirectCommands(fencingToken, agentEpoch, commands),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    if (reply.kind !== 'answer') return null;
    // 409: the worker has seen a higher token, which the heartbeat tells.
    if (reply.status !== 200 && reply.status !== 409) return null;
    return parseHeartbeat(reply.body);
  }
}
