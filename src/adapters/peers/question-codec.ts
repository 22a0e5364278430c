/** Questions and answers between controllers as they are sent: each pair shares a number `n`. */
import * as v from 'valibot';
import type { PeerRequest } from '../../ports/peer.js';

const sequenceNumber = v.pipe(v.number(), v.integer());
const jobId = v.pipe(v.string(), v.regex(/^job-\d{1,18}$/));

const questionSchema = v.object({
  n: sequenceNumber,
  ask: v.picklist(['status', 'abort', 'list', 'explain', 'health', 'admit', 'look', 'operate']),
  job: v.optional(jobId),
  team: v.optional(v.pipe(v.string(), v.maxLength(200))),
  record: v.optional(v.unknown()),
  extension: v.optional(v.pipe(v.string(), v.maxLength(40))),
  call: v.optional(
    v.object({
      route: v.pipe(v.string(), v.maxLength(40)),
      subject: v.pipe(v.string(), v.maxLength(200)),
      body: v.unknown(),
    }),
  ),
});

const answerSchema = v.object({ n: sequenceNumber, is: v.unknown() });

/** A question as it came in; its answer goes back under the same number. */
export interface NumberedQuestion {
  readonly n: number;
  readonly question: PeerRequest;
}

/** An answer as it came in. */
export type NumberedAnswer = v.InferOutput<typeof answerSchema>;

/** The message as a question, or null when it has no known form. */
export const parseQuestion = (message: unknown): NumberedQuestion | null => {
  const result = v.safeParse(questionSchema, message);
  if (!result.success) return null;
  const { n, ...question } = result.output;
  return { n, question: question as PeerRequest };
};

/** The message as an answer, or null when it has no known form. */
export const parseAnswer = (message: unknown): NumberedAnswer | null => {
  const result = v.safeParse(answerSchema, message);
  return result.success ? result.output : null;
};

/** The question as a message; `n` stands first. */
export const encodeQuestion = (n: number, question: PeerRequest) => ({ n, ...question });

/** The answer to the question of the same number as a message. */
export const encodeAnswer = (n: number, answer: unknown) => ({ n, is: answer });
