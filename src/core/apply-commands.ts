/** The core's one entry: commands in, effects out. No input or output, no clock, no randomness. */

import { deleted, listed, manageFleet, setTypes } from './fleet/fleet-management.js';
import { rented } from './fleet/scale-out.js';
import { nextBatch, onLedger, onProgress, onSaved } from './ledger/batch-builder.js';
import { settleSegment } from './ledger/segments.js';
import { onReport } from './lifecycle/heartbeat-reconciliation.js';
import { abortJob, addJob } from './lifecycle/jobs.js';
import { answerTickets, ofEndedJob, sendKills } from './lifecycle/worker-commands.js';
import { everyLeaseOver } from './lifecycle/worker-leases.js';
import { logEvent } from './log-event.js';
import { placeWaitingReplicas, type Round, runRound } from './scheduling/backfill.js';
import type { CoreState } from './state.js';
import {
  type Authority,
  type Command,
  type Effect,
  type Instant,
  later,
  type Millis,
} from './types.js';

const TICK_MS = 500;
/** Rounds without an event, so that scores that change with time alone take effect. */
const ROUND_EVERY_MS = 2000;

const apply = (state: CoreState, command: Command, now: Instant, effects: Effect[]): void => {
  switch (command.kind) {
    case 'job':
      return addJob(state, command.spec, command.submittedAt);
    case 'progress':
      return onProgress(state, command);
    case 'ledger':
      return onLedger(state, command, now);
    case 'unreadable':
      state.unreadable.add(command.segment);
      return;
    case 'loaded':
      state.loaded = true;
      // One report period, at its longest, lets the workers speak first. (Without it at a first start, whichever
      // jobs arrive first take the few machines that are up, not those that rank best.)
      state.placeFrom = later(now, (state.config.reportMs * 1.3) as Millis);
      if (state.unreadable.size > 0) state.placeFrom = everyLeaseOver(state);
      for (const segment of [...state.segments.values()]) settleSegment(state, segment);
      for (const job of state.jobs.values()) {
        if (job.doneCount >= job.spec.tasks && job.final === 'none') {
          job.final = 'done';
          state.dirtyFinals.add(job);
        }
      }
      return;
    case 'abort':
      return abortJob(state, command.job, command.ticket, now, effects);
    case 'report':
      return onReport(state, command.report, command.ticket, now, effects);
    case 'saved':
      return onSaved(state, command.batch, command.refused ?? [], command.revision, now, effects);
    case 'types':
      return setTypes(state, command.types);
    case 'listed':
      return listed(state, command.askedAt, command.machines, now);
    case 'rented':
      return rented(state, command.request, command.result, command.machines, now);
    case 'deleted':
      return deleted(state, command.machines, command.ok, now);
    case 'extension-records':
      state.extensions?.load(command.extension, command.records);
      return;
    case 'operator-call':
      state.extensions?.call(command.extension, command.call, command.ticket);
      return;
    case 'tick':
      return;
  }
};

const logPlaced = (state: CoreState, { placed }: Round, effects: Effect[]): void => {
  if (placed.length === 0) return;
  logEvent(effects, 'debug', 'placed', {
    head: state.head,
    tasks: placed.map((p) => `${p.entry.job}/${p.entry.index}@${p.machine.id}`),
  });
};

export const step = (
  state: CoreState,
  commands: readonly Command[],
  now: Instant,
  authority: Authority,
): Effect[] => {
  const effects: Effect[] = [];
  state.extensions?.begin(now);
  for (const command of commands) apply(state, command, now, effects);
  if (authority === 'lead' && state.loaded) {
    const tickDue = now - state.lastTick >= TICK_MS;
    state.extensions?.decide(tickDue);
    if (tickDue) {
      state.lastTick = now;
      effects.push(...manageFleet(state, now));
      for (const m of state.machines.values()) sendKills(m, effects, now);
    }
    const due = state.placementDue || now - state.lastPlaced >= ROUND_EVERY_MS;
    if (due && now >= state.placeFrom) {
      state.placementDue = false;
      state.lastPlaced = now;
      // Whatever an unreadable record spoke of has ended by now, or its machine has reported it.
      for (const key of state.unreadable) state.deadSegments.add(key);
      state.unreadable.clear();
      logPlaced(state, runRound(state, now), effects);
    } else if (now < state.placeFrom && state.unreadable.size === 0) {
      logPlaced(state, placeWaitingReplicas(state, now), effects);
    }
    nextBatch(state, now, effects);
  }
  if (authority === 'keep-alive' && now - state.lastTick >= TICK_MS) {
    state.lastTick = now;
    for (const m of state.machines.values()) sendKills(m, effects, now, ofEndedJob);
  }
  answerTickets(state, now, authority, effects);
  if (state.extensions) effects.push(...state.extensions.takeEffects());
  return effects;
};
