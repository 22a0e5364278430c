/** Wire format of questions and answers between controllers; both carry the same number `n`. */
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

/** A received question, and the sequence number that its answer must carry. */
export interface NumberedQuestion {
  readonly n: number;
  readonly question: PeerRequest;
}

export type NumberedAnswer = v.InferOutput<typeof answerSchema>;

/** Parses a question. Returns null if the message is malformed or of an unknown kind. */
export const parseQuestion = (message: unknown): NumberedQuestion | null => {
  const result = v.safeParse(questionSchema, message);
  if (!result.success) return null;
  const { n, ...question } = result.output;
  return { n, question: question as PeerRequest };
};

/** Parses an answer. Returns null if the message is malformed. */
export const parseAnswer = (message: unknown): NumberedAnswer | null => {
  const result = v.safeParse(answerSchema, message);
  return result.success ? result.output : null;
};

/** Encodes a question. `n` is the first field. */
export const encodeQuestion = (n: number, question: PeerRequest) => ({ n, ...question });

export const encodeAnswer = (n: number, answer: unknown) => ({ n, is: answer });
