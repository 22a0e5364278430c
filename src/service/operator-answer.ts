/** Answers to operators' calls, as peers pass them on. */
import * as v from 'valibot';
import type { OperatorAnswer } from '../core/extensions/extension.js';

const answerSchema = v.object({
  status: v.pipe(v.number(), v.integer(), v.minValue(200), v.maxValue(599)),
  body: v.record(v.string(), v.unknown()),
});

/** A peer's answer; anything odd counts as none. */
export const readOperatorAnswer = (answer: unknown): OperatorAnswer | null => {
  const result = v.safeParse(answerSchema, answer);
  return result.success ? result.output : null;
};
