/** Wire format of requests between controllers and their answers, which repeat the number `n`. */
import * as v from 'valibot';
import type { PeerRequest } from '../../ports/peer.js';

const sequenceNumber = v.pipe(v.number(), v.integer());
const jobId = v.pipe(v.string(), v.regex(/^job-\d{1,18}$/));

const requestSchema = v.object({
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

/** A received request, and the sequence number that its answer must carry. */
export interface NumberedRequest {
  readonly n: number;
  readonly request: PeerRequest;
}

/** A received answer; `n` is the sequence number of the request that it answers. */
export type NumberedAnswer = v.InferOutput<typeof answerSchema>;

/** Parses a request; null if it is malformed or of an unknown kind. */
export const parseRequest = (message: unknown): NumberedRequest | null => {
  const result = v.safeParse(requestSchema, message);
  if (!result.success) return null;
  const { n, ...request } = result.output;
  return { n, request: request as PeerRequest };
};

/** Parses an answer; null if malformed. */
export const parseAnswer = (message: unknown): NumberedAnswer | null => {
  const result = v.safeParse(answerSchema, message);
  return result.success ? result.output : null;
};

/** Encodes a request. `n` is the first field. */
export const encodeRequest = (n: number, request: PeerRequest) => ({ n, ...request });

/** Encodes the answer to request `n`. */
export const encodeAnswer = (n: number, answer: unknown) => ({ n, is: answer });
