/**
 * Users that query all nodes and check that reads are monotonic: no answer may be older than one
 * that was received before the request was sent.
 */

import { jobBody } from './cluster.js';
import { requestJson } from './http.js';

const RANK: Record<string, number> = { absent: 0, queued: 1, running: 1, done: 2, withdrawn: 2 };

/** Queries jobs and keeps the newest status of each. */
export class Recorder {
  readonly problems: string[] = [];
  answerCount = 0;
  /** Number of answers by status. */
  readonly answersByStatus: Record<string, number> = {};
  /** The newest known status of each job. */
  private readonly newestStatus = new Map<string, string>();

  constructor(private readonly nodes: () => readonly string[]) {}

  private recordStatus(
    id: string,
    address: string,
    before: string | undefined,
    status: string,
    operation: string,
  ): void {
    this.answerCount += 1;
    this.answersByStatus[status] = (this.answersByStatus[status] ?? 0) + 1;
    const rank = RANK[status] ?? 0;
    if (before !== undefined) {
      const isOlder = rank < (RANK[before] ?? 0);
      const hasOtherOutcome = RANK[before] === 2 && status !== before;
      if (isOlder || hasOtherOutcome)
        this.problems.push(`${id} at ${address}: ${operation} got ${status} after ${before}`);
    }
    const known = this.newestStatus.get(id);
    if (known === undefined || rank > (RANK[known] ?? 0)) this.newestStatus.set(id, status);
  }

  private async send(
    id: string,
    address: string,
    path: string,
    requestBody: unknown,
    method = 'POST',
  ): Promise<string | null> {
    const before = this.newestStatus.get(id);
    const reply = await requestJson(address, path, requestBody, method);
    if (!reply || ![200, 201, 404].includes(reply.status)) {
      // Once a user knows that a job was accepted, no node may reject it as invalid.
      if (
        reply &&
        (reply.status === 400 || reply.status === 422) &&
        before !== undefined &&
        before !== 'absent'
      )
        this.problems.push(`${id} at ${address}: ${reply.status} after ${before}`);
      return null;
    }
    const status =
      reply.status === 404 ? 'absent' : String((reply.body as { Status?: unknown }).Status);
    this.recordStatus(id, address, before, status, path.endsWith('abort') ? 'cancel' : method);
    return status;
  }

  lookUp(id: string, address: string) {
    return this.send(id, address, `/api/jobs/${id}`, undefined, 'GET');
  }

  /** Submits a job, or repeats its submission. */
  submit(id: string, address: string, overrides: object = {}) {
    return this.send(id, address, '/api/jobs', jobBody(id, overrides));
  }

  cancel(id: string, address: string) {
    return this.send(id, address, `/api/jobs/${id}/abort`, {});
  }

  /** Tries one node after the other until one answers, as users do. */
  async retryUntilAnswered(attempt: (address: string) => Promise<string | null>): Promise<string> {
    for (let i = 0; ; i += 1) {
      const nodes = this.nodes();
      const status = await attempt(nodes[i % nodes.length]!);
      if (status !== null) return status;
      await new Promise((resolve) => setTimeout(resolve, 30));
    }
  }

  /** Queries all nodes at once, `times` times within milliseconds, and repeats the submission. */
  async queryAllNodes(id: string, times = 3): Promise<void> {
    const requests: Promise<unknown>[] = [];
    for (let i = 0; i < times; i += 1) {
      for (const address of this.nodes()) {
        requests.push(this.lookUp(id, address));
        if (i === 1 && this.newestStatus.get(id) !== undefined)
          requests.push(this.submit(id, address));
      }
      await new Promise((resolve) => setTimeout(resolve, 3));
    }
    await Promise.all(requests);
  }
}
