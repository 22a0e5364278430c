/**
 * The record of what leaders have learned of machines that do not answer. Versions without it wait
 * anew for each of these machines; they leave the record as it is, so its times are checked.
 */
import * as v from 'valibot';
import type { MachineId } from '../../core/model/ids.js';
import type { MachineLossPage } from '../../core/model/machine-loss.js';
import { brandedString, nonNegativeInteger } from './validators.js';

/** [machine, silent since, milliseconds for which leaders have listened] */
const unresponsiveRowSchema = v.tuple([
  brandedString<MachineId>(),
  nonNegativeInteger(),
  nonNegativeInteger(),
]);
/** [machine, number below which all attempts are gone, or null for a deleted machine, proven at] */
const goneRowSchema = v.tuple([
  brandedString<MachineId>(),
  v.nullable(nonNegativeInteger()),
  nonNegativeInteger(),
]);

/** Times are times of day in milliseconds since 1970. */
const pageSchema = v.object({
  page: nonNegativeInteger(),
  /** When the page was written. */
  at: nonNegativeInteger(),
  unresponsive: v.array(unresponsiveRowSchema),
  gone: v.array(goneRowSchema),
});

/** Encodes one page. */
export const encodeMachineLosses = ({
  page,
  writtenAtTimeOfDayMs,
  unresponsive,
  gone,
}: MachineLossPage): v.InferInput<typeof pageSchema> => ({
  page,
  at: writtenAtTimeOfDayMs,
  unresponsive: unresponsive.map(({ machine, sinceTimeOfDayMs, listenedMs }) => [
    machine,
    sinceTimeOfDayMs,
    listenedMs,
  ]),
  gone: gone.map(({ machine, attemptsBelow, provenAtTimeOfDayMs }) => [
    machine,
    attemptsBelow,
    provenAtTimeOfDayMs,
  ]),
});

/** Returns null if the page is invalid. */
export const decodeMachineLosses = (value: unknown): MachineLossPage | null => {
  const parsed = v.safeParse(pageSchema, value);
  if (!parsed.success) return null;
  const { page, at, unresponsive, gone } = parsed.output;
  return {
    page,
    writtenAtTimeOfDayMs: at,
    unresponsive: unresponsive.map(([machine, sinceTimeOfDayMs, listenedMs]) => ({
      machine,
      sinceTimeOfDayMs,
      listenedMs,
    })),
    gone: gone.map(([machine, attemptsBelow, provenAtTimeOfDayMs]) => ({
      machine,
      attemptsBelow,
      provenAtTimeOfDayMs,
    })),
  };
};
