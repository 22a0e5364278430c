/** Converts stored findings on machines that do not answer into a command of recovery. */
import type { Command } from '../core/model/command.js';
import type { MachineLossPage } from '../core/model/machine-loss.js';
import type { Instant } from '../core/model/time.js';

/**
 * The command that hands one page to the core. `toInstant` converts a time of day of another node,
 * in milliseconds since 1970, to this process's clock.
 */
export const recoveredLossesCommand = (
  { page, unresponsive, gone, writtenAtTimeOfDayMs }: MachineLossPage,
  toInstant: (timeOfDayMs: number) => Instant,
): Command => ({
  kind: 'recovered-machine-losses',
  page,
  unresponsive: unresponsive.map(({ machine, sinceTimeOfDayMs, listenedMs }) => ({
    machine,
    since: toInstant(sinceTimeOfDayMs),
    listenedMs,
  })),
  gone,
  writtenAt: toInstant(writtenAtTimeOfDayMs),
});
