/** Direct commands to workers: kills, which must not wait for the next check-in. */
import { Agent } from 'node:http';
import type { Heartbeat } from '../../core/model/heartbeat.js';
import type { FencingToken } from '../../core/model/ids.js';
import type { WorkerCommand } from '../../core/model/worker-command.js';
import { parseEndpoint } from '../configuration/settings.js';
import { exchange } from '../outbound/http-client.js';
import { encodeWorkerCommands } from '../wire.js';
import { parseHeartbeat } from './heartbeat-parser.js';

const REQUEST_MS = 3000;

export class WorkerClient {
  /**
   * One for all machines: orders to as many as a large cancelled job runs on go out at once, and those beyond the bound
   * wait for a socket instead of taking the ones that check-ins need. None is kept, since few machines are told twice.
   */
  private readonly agent: Agent;

  constructor(maxSockets: number) {
    this.agent = new Agent({ keepAlive: false, maxTotalSockets: maxSockets });
  }

  /** The worker's report after the commands, or null. */
  async sendCommands(
    endpoint: string,
    fencingToken: FencingToken,
    session: number,
    commands: readonly WorkerCommand[],
  ): Promise<Heartbeat | null> {
    if (!/^[\w.-]+:\d{1,5}$/.test(endpoint)) return null;
    const body = { Baton: fencingToken, Tenure: session, Orders: encodeWorkerCommands(commands) };
    const reply = await exchange(
      this.agent,
      parseEndpoint(endpoint),
      'POST',
      '/orders',
      body,
      REQUEST_MS,
    );
    if (reply.kind !== 'answer' || (reply.status !== 200 && reply.status !== 409)) return null;
    return parseHeartbeat(reply.body);
  }
}
