/**
 * Users that ask at all nodes and compare what they are told: no answer may be older than one that
 * was there before the question.
 */

import { jobBody } from './cluster.js';
import { requestJson } from './http.js';

const RANK: Record<string, number> = { absent: 0, queued: 1, running: 1, done: 2, withdrawn: 2 };

/** Asks about jobs, and keeps the newest answer of each. */
export class Recorder {
  readonly problems: string[] = [];
  answerCount = 0;
  /** Answers by what was said. */
  readonly answersByStatus: Record<string, number> = {};
  /** The newest that was told of each job. */
  private readonly newest = new Map<string, string>();

  constructor(private readonly nodes: () => readonly string[]) {}

  private note(
    id: string,
    at: string,
    before: string | undefined,
    told: string,
    asked: string,
  ): void {
    this.answerCount += 1;
    this.answersByStatus[told] = (this.answersByStatus[told] ?? 0) + 1;
    const rank = RANK[told] ?? 0;
    if (before !== undefined) {
      const older = rank < (RANK[before] ?? 0);
      const other = RANK[before] === 2 && told !== before;
      if (older || other)
        this.problems.push(`${id} at ${at}: ${asked} got ${told} after ${before}`);
    }
    const known = this.newest.get(id);
    if (known === undefined || rank > (RANK[known] ?? 0)) this.newest.set(id, told);
  }

  private async ask(
    id: string,
    at: string,
    path: string,
    sent: unknown,
    method = 'POST',
  ): Promise<string | null> {
    const before = this.newest.get(id);
    const reply = await requestJson(at, path, sent, method);
    if (!reply || ![200, 201, 404].includes(reply.status)) {
      // Whoever has been told that the job is accepted is never told that it can't be.
      if (
        reply &&
        (reply.status === 400 || reply.status === 422) &&
        before !== undefined &&
        before !== 'absent'
      )
        this.problems.push(`${id} at ${at}: ${reply.status} after ${before}`);
      return null;
    }
    const told =
      reply.status === 404 ? 'absent' : String((reply.body as { Status?: unknown }).Status);
    this.note(id, at, before, told, path.endsWith('abort') ? 'cancel' : method);
    return told;
  }

  /** Asks for a job's state. */
  lookUp(id: string, at: string) {
    return this.ask(id, at, `/api/jobs/${id}`, undefined, 'GET');
  }

  /** Submits a job, or repeats it. */
  submit(id: string, at: string, change: object = {}) {
    return this.ask(id, at, '/api/jobs', jobBody(id, change));
  }

  /** Cancels a job. */
  cancel(id: string, at: string) {
    return this.ask(id, at, `/api/jobs/${id}/abort`, {});
  }

  /** Until a node takes it, as users do. */
  async retryUntilAnswered(what: (at: string) => Promise<string | null>): Promise<string> {
    for (let i = 0; ; i += 1) {
      const nodes = this.nodes();
      const told = await what(nodes[i % nodes.length]!);
      if (told !== null) return told;
      await new Promise((resolve) => setTimeout(resolve, 30));
    }
  }

  /** At all nodes at once, a few times within milliseconds, with repeats of the submission. */
  async queryAllNodes(id: string, times = 3): Promise<void> {
    const asked: Promise<unknown>[] = [];
    for (let i = 0; i < times; i += 1) {
      for (const at of this.nodes()) {
        asked.push(this.lookUp(id, at));
        if (i === 1 && this.newest.get(id) !== undefined) asked.push(this.submit(id, at));
      }
      await new Promise((resolve) => setTimeout(resolve, 3));
    }
    await Promise.all(asked);
  }
}
