/**
 * One scheduling round: flexible backfilling, BF UNMOD. The head of the queue keeps its rank until it
 * has started and reserves the room it misses up to the shadow time; the others start by score where
 * they leave that room alone or end before the shadow time.
 */
import { type Ranked, rankJobs } from './rank.js';
import { goesFirst, keepMachines, moveAway, replicasToMove, roomsForReplicas } from './services.js';
import {
  ATTEMPTS_PER_TERM,
  type CoreState,
  failsEverywhere,
  hold,
  type Job,
  type Machine,
  occupies,
  type Placement,
  SUSPECT_MACHINES,
  takePending,
  usable,
} from './state.js';
import {
  type Attempt,
  type Instant,
  isService,
  type LedgerEntry,
  type MachineType,
  PRIORITY_LEVEL,
  type TypeName,
} from './types.js';

/** Room on a machine: what is free now and what the head leaves free at the shadow time. */
export interface Room {
  readonly machine: Machine;
  readonly type: MachineType;
  /** Attempts that it may still take on. */
  slots: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  shadowCpus: number;
  shadowGpus: number;
  shadowMemoryGb: number;
}

const EPSILON = 1e-6;
/** Shorter runs are not cut: a start that is stopped so soon is of no use. */
const LEAST_RUN_MS = 31_000;
const TEAM_LIMIT = 'team limit';
const NO_MACHINE = 'no machine with room';

const morePowerful = (a: Room, b: Room): number =>
  b.type.gpus - a.type.gpus || b.type.cpus - a.type.cpus || b.type.memoryGb - a.type.memoryGb;

/** Usable machines, the most powerful first. */
export const roomsOf = (state: CoreState, now: Instant): Room[] => {
  const rooms: Room[] = [];
  for (const machine of state.machines.values()) {
    const type = state.types.get(machine.type);
    if (!type || !usable(state, machine, now)) continue;
    const cpus = type.cpus - machine.usedCpus;
    const gpus = type.gpus - machine.usedGpus;
    const memoryGb = type.memoryGb - machine.usedMemoryGb;
    const shadow = { shadowCpus: cpus, shadowGpus: gpus, shadowMemoryGb: memoryGb };
    const slots = state.config.maxPerMachine - machine.placements.size;
    rooms.push({ machine, type, slots, cpus, gpus, memoryGb, ...shadow });
  }
  return rooms.sort((a, b) => morePowerful(a, b) || (a.machine.id < b.machine.id ? -1 : 1));
};

export const mayUseMachine = (job: Job, machine: Machine): boolean => {
  const { spec } = job;
  if (spec.types && !spec.types.includes(machine.type)) return false;
  if (spec.zone !== null && spec.zone !== machine.zone) return false;
  if (machine.spot && !spec.spotOk) return false;
  if (isService(job)) return true;
  if (machine.kept && spec.spotOk && !job.starving) return false;
  return !(job.failedOn.size < SUSPECT_MACHINES && job.failedOn.has(machine.id));
};

/** The zone rules, given where the job's other tasks may be at this moment. */
export const zoneAllows = (job: Job, machine: Pick<Machine, 'zone'>): boolean => {
  const { spec, heldByZone } = job;
  if (spec.oneZone && heldByZone.size > 0 && !(heldByZone.size === 1 && heldByZone.has(machine.zone))) {
    return false;
  }
  if (spec.scatter && (heldByZone.get(machine.zone) ?? 0) >= Math.ceil(spec.tasks / 2)) return false;
  return true;
};

const fitsNow = (job: Job, room: Room): boolean => room.slots > 0 && fitsIn(job, room);

const fitsShadow = (job: Job, room: Room): boolean =>
  room.shadowCpus + EPSILON >= job.spec.cpus &&
  room.shadowGpus + EPSILON >= job.spec.gpus &&
  room.shadowMemoryGb + EPSILON >= job.spec.memoryGb;

const takeShadow = (job: Job, room: Room): void => {
  room.shadowCpus -= job.spec.cpus;
  room.shadowGpus -= job.spec.gpus;
  room.shadowMemoryGb -= job.spec.memoryGb;
};

/** How many more tasks the team's limit allows. */
export const teamRoom = (state: CoreState, job: Job): number => {
  const team = state.config.teams.get(job.spec.team);
  if (!team) return 0;
  const used = state.usage.get(team.name) ?? { cpus: 0, gpus: 0 };
  let room = Number.POSITIVE_INFINITY;
  if (job.spec.cpus > 0) room = Math.min(room, (team.cpusMax - used.cpus + EPSILON) / job.spec.cpus);
  if (job.spec.gpus > 0) room = Math.min(room, (team.gpusMax - used.gpus + EPSILON) / job.spec.gpus);
  return Math.max(0, Math.floor(room));
};

const fetchMs = (job: Job, room: Room): number =>
  room.machine.images.has(job.spec.image)
    ? 0
    : (job.spec.imageGb / Math.max(room.type.fetchGbPerS, 0.01)) * 1000;

/** How long a task of the job should run; a replica runs until its service is cancelled. */
const runMs = (job: Job): number => (isService(job) ? Number.POSITIVE_INFINITY : job.spec.estimateS * 1000);

/** When a running attempt should end by its estimate; an overrun counts as ending soon. */
export const estimatedEnd = (p: Placement, now: Instant): number => {
  const estimate = p.job ? runMs(p.job) : 0;
  // A task that is being stopped ends once it has saved.
  if (p.kill) return now + Math.min(p.kill.graceS, p.job?.spec.saveS ?? 0) * 1000 + 500;
  const end = (p.startedAt ?? p.placedAt) + estimate;
  return Math.max(end, now + Math.max(1000, estimate / 4));
};

/**
 * The rooms for a job's tasks, best first: the most powerful, and among equals those that have the image, since a task starts
 * sooner there. While one job is placed rooms only fill up, so that one that was passed over need not be looked at again:
 * the work of a round follows the rooms and not rooms times tasks.
 */
function* candidates(state: CoreState, job: Job, rooms: readonly Room[], now: Instant): Generator<Room> {
  if (isService(job)) {
    const suits = rooms.filter((r) => fitsNow(job, r) && mayUseMachine(job, r.machine));
    yield* roomsForReplicas(state, job, suits, now);
    return;
  }
  let next = 0;
  while (next < rooms.length) {
    const first = rooms[next]!;
    const without: Room[] = [];
    for (; next < rooms.length && morePowerful(first, rooms[next]!) === 0; next += 1) {
      const room = rooms[next]!;
      if (!fitsNow(job, room) || !mayUseMachine(job, room.machine)) continue;
      if (room.machine.images.has(job.spec.image)) yield room;
      else without.push(room);
    }
    yield* without;
  }
}

/** A job with one zone starts where most of it fits. */
const chooseZone = (job: Job, rooms: readonly Room[]): string | null => {
  if (!job.spec.oneZone || job.heldByZone.size > 0) return null;
  const slots = new Map<string, number>();
  for (const room of rooms) {
    if (!fitsNow(job, room) || !mayUseMachine(job, room.machine)) continue;
    const n = job.spec.cpus > 0 ? Math.floor((room.cpus + EPSILON) / job.spec.cpus) : 1;
    slots.set(room.machine.zone, (slots.get(room.machine.zone) ?? 0) + n);
  }
  let best: string | null = null;
  for (const [zone, n] of slots) if (best === null || n > (slots.get(best) ?? 0)) best = zone;
  return best;
};

/** The least that any waiting job takes: a room with less is of no use in this round. */
interface Least {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

const leastOf = (ranked: readonly Ranked<Job>[]): Least => {
  let cpus = Number.POSITIVE_INFINITY;
  let gpus = Number.POSITIVE_INFINITY;
  let memoryGb = Number.POSITIVE_INFINITY;
  for (const { job } of ranked) {
    cpus = Math.min(cpus, job.spec.cpus);
    gpus = Math.min(gpus, job.spec.gpus);
    memoryGb = Math.min(memoryGb, job.spec.memoryGb);
  }
  return { cpus, gpus, memoryGb };
};

const stillOpen = (rooms: readonly Room[], least: Least): Room[] =>
  rooms.filter(
    (r) =>
      r.slots > 0 &&
      r.cpus + EPSILON >= least.cpus &&
      r.gpus + EPSILON >= least.gpus &&
      r.memoryGb + EPSILON >= least.memoryGb,
  );

interface Space {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What is free in a room, and what these give back. */
const roomWith = (room: Room, leaving: readonly Placement[]): Space => {
  const { cpus, gpus, memoryGb } = room;
  const space = { cpus, gpus, memoryGb };
  for (const { entry } of leaving) {
    space.cpus += entry.cpus;
    space.gpus += entry.gpus;
    space.memoryGb += entry.memoryGb;
  }
  return space;
};

const fitsIn = (job: Job, space: Space): boolean =>
  space.cpus + EPSILON >= job.spec.cpus &&
  space.gpus + EPSILON >= job.spec.gpus &&
  space.memoryGb + EPSILON >= job.spec.memoryGb;

const place = (state: CoreState, job: Job, room: Room, now: Instant): Placement | null => {
  const index = takePending(job);
  if (index === null) return null;
  if (state.nextAttempt >= ATTEMPTS_PER_TERM) {
    job.returned.push(index);
    return null;
  }
  const attempt = (state.config.term * ATTEMPTS_PER_TERM + state.nextAttempt) as Attempt;
  state.nextAttempt += 1;
  const { id, team, cpus, gpus, memoryGb } = job.spec;
  const entry: LedgerEntry = { job: id, index, attempt, team, cpus, gpus, memoryGb };
  const placement: Placement = {
    entry,
    machine: room.machine,
    job,
    placedAt: now,
    phase: 'entering',
    startedAt: null,
    sentIn: null,
    kill: null,
    superseded: false,
    needs: null,
    segment: null,
  };
  hold(state, placement);
  state.toEnter.add(placement);
  room.machine.images.add(job.spec.image);
  room.slots -= 1;
  room.cpus -= cpus;
  room.gpus -= gpus;
  room.memoryGb -= memoryGb;
  return placement;
};

interface PlaceResult {
  readonly placed: Placement[];
  readonly blockedBy: string;
}

const placeJob = (
  state: CoreState,
  job: Job,
  rooms: readonly Room[],
  now: Instant,
  shadowAt: number,
  most = Number.POSITIVE_INFINITY,
): PlaceResult => {
  const placed: Placement[] = [];
  const zone = chooseZone(job, rooms);
  const suspect = failsEverywhere(job);
  let reserved = false;
  const allowed = (r: Room): boolean => {
    if (zone !== null && r.machine.zone !== zone) return false;
    if (shadowAt === 0 || fitsShadow(job, r)) return true;
    if (now + runMs(job) + fetchMs(job, r) <= shadowAt) return true;
    reserved = true;
    return false;
  };
  const usableNow = (r: Room) => fitsNow(job, r) && zoneAllows(job, r.machine) && allowed(r);
  const order = candidates(state, job, rooms, now);
  // A service's replicas go to one machine after the other, an array's tasks fill each.
  const spread = isService(job);
  let room: Room | null = null;
  while (job.pending > 0 && placed.length < most) {
    if (suspect && job.held.size > 0) return { placed, blockedBy: 'its tasks fail on every machine' };
    if (teamRoom(state, job) < 1) return { placed, blockedBy: TEAM_LIMIT };
    if (spread) room = null;
    while (!room || !usableNow(room)) {
      const next: IteratorResult<Room> = order.next();
      if (next.done) return { placed, blockedBy: reserved ? 'room reserved for the head' : NO_MACHINE };
      room = next.value;
    }
    const outlasts = shadowAt === 0 || now + runMs(job) + fetchMs(job, room) > shadowAt;
    const placement = place(state, job, room, now);
    if (!placement) return { placed, blockedBy: 'no attempt number left' };
    if (outlasts) takeShadow(job, room);
    placed.push(placement);
  }
  return { placed, blockedBy: '' };
};

/** Lets the running attempts end in the order of their estimates until the head's missing tasks fit. */
export const reserveForHead = (job: Job, missing: number, rooms: readonly Room[], now: Instant): number => {
  const allowed = new Set(rooms.filter((r) => mayUseMachine(job, r.machine) && zoneAllows(job, r.machine)));
  // By the second, so that only those seconds are put in order that matter.
  const seconds = new Map<number, { at: number; room: Room; p: Placement }[]>();
  for (const room of rooms) {
    for (const p of room.machine.placements.values()) {
      if (!occupies(p.phase)) continue;
      const at = estimatedEnd(p, now);
      if (at === Number.POSITIVE_INFINITY) continue;
      const second = Math.floor(at / 1000);
      const ends = seconds.get(second);
      if (ends) ends.push({ at, room, p });
      else seconds.set(second, [{ at, room, p }]);
    }
  }
  let left = missing;
  let shadow = 0;
  for (const second of [...seconds.keys()].sort((a, b) => a - b)) {
    const ends = seconds.get(second)!.sort((a, b) => a.at - b.at || a.p.entry.attempt - b.p.entry.attempt);
    for (const end of ends) {
      if (left <= 0) return shadow;
      end.room.shadowCpus += end.p.entry.cpus;
      end.room.shadowGpus += end.p.entry.gpus;
      end.room.shadowMemoryGb += end.p.entry.memoryGb;
      if (!allowed.has(end.room)) continue;
      while (left > 0 && fitsShadow(job, end.room)) {
        takeShadow(job, end.room);
        left -= 1;
        shadow = end.at;
      }
    }
  }
  return shadow;
};

/** Tasks that may be stopped for a head of this level: of lower priority, and no more is lost than the saving takes. */
const mayStop = (p: Placement, level: number, now: Instant): boolean =>
  p.job !== null &&
  p.kill === null &&
  p.phase === 'running' &&
  p.startedAt !== null &&
  now - p.startedAt >= LEAST_RUN_MS &&
  PRIORITY_LEVEL[p.job.spec.priority] < level &&
  p.job.spec.checkpointS > 0;

/**
 * The one exception to running tasks to their end: small tasks take up every processor that comes free, so that on a
 * full fleet an urgent head with larger ones waits for long. It stops tasks of lower priority that save their
 * progress, as many as it takes, and its reservation keeps the room for it.
 */
const makeRoom = (job: Job, missing: number, rooms: readonly Room[], now: Instant): void => {
  const level = PRIORITY_LEVEL[job.spec.priority];
  const { cpus, gpus, memoryGb } = job.spec;
  let left = missing;
  const open: { room: Room; victims: Placement[] }[] = [];
  for (const room of rooms) {
    if (!mayUseMachine(job, room.machine) || !zoneAllows(job, room.machine)) continue;
    const victims: Placement[] = [];
    let stopping = false;
    for (const p of room.machine.placements.values()) {
      if (p.kill && occupies(p.phase)) stopping = true;
      else if (mayStop(p, level, now)) victims.push(p);
    }
    // Room that is already being made counts first.
    if (stopping) {
      const soon = roomWith(
        room,
        [...room.machine.placements.values()].filter((p) => p.kill && occupies(p.phase)),
      );
      while (left > 0 && fitsIn(job, soon)) {
        soon.cpus -= cpus;
        soon.gpus -= gpus;
        soon.memoryGb -= memoryGb;
        left -= 1;
      }
    } else if (victims.length > 0) open.push({ room, victims });
  }
  for (const { room, victims } of open) {
    if (left <= 0) return;
    const soon = roomWith(room, []);
    let stopped: Placement[] = [];
    for (const p of victims) {
      if (left <= 0) break;
      soon.cpus += p.entry.cpus;
      soon.gpus += p.entry.gpus;
      soon.memoryGb += p.entry.memoryGb;
      stopped.push(p);
      if (!fitsIn(job, soon)) continue;
      // Only once a task of the head fits is anything stopped for it.
      for (const victim of stopped) victim.kill = { graceS: (victim.job?.spec.saveS ?? 0) + 5, sentAt: null };
      stopped = [];
      while (left > 0 && fitsIn(job, soon)) {
        soon.cpus -= cpus;
        soon.gpus -= gpus;
        soon.memoryGb -= memoryGb;
        left -= 1;
      }
    }
  }
};

export interface Round {
  readonly placed: Placement[];
  readonly ranked: Ranked<Job>[];
}

const fleetGpus = (state: CoreState): Map<TypeName, number> => {
  const total = new Map<TypeName, number>();
  for (const m of state.machines.values()) {
    const gpus = state.types.get(m.type)?.gpus ?? 0;
    if (gpus > 0) total.set(m.type, (total.get(m.type) ?? 0) + gpus);
  }
  return total;
};

const FAILURES_FORGOTTEN_MS = 60_000;

/** A machine that failed a job may be the only one that suits it, and be sound again: the job does not shun it for good. */
const forgetFailures = (job: Job, now: Instant): void => {
  if (isService(job) || job.failedOn.size >= SUSPECT_MACHINES) return;
  if (now - job.failedAt > FAILURES_FORGOTTEN_MS) job.failedOn.clear();
};

/** Jobs that wait, ranked; those whose tasks fail everywhere are left out until their pause is over. */
export const rankWaiting = (state: CoreState, now: Instant): Ranked<Job>[] => {
  const waiting: Job[] = [];
  for (const job of state.jobs.values()) {
    if (job.final !== 'none' || job.pending <= 0) continue;
    forgetFailures(job, now);
    if (now < job.retryAt) {
      job.blockedBy = 'pausing after failures';
      continue;
    }
    waiting.push(job);
  }
  return rankJobs(waiting, state.types, fleetGpus(state), now, state.config.policy);
};

/**
 * A replica whose machine is about to go is stopped as soon as room elsewhere is held for it, in this round and in each until
 * it is proven gone: then it starts, ahead of the queue or by its rank.
 */
const holdForMoves = (leaving: readonly Placement[], rooms: readonly Room[]): void => {
  for (const p of leaving) {
    const job = p.job!;
    const room = rooms.find(
      (r) =>
        fitsNow(job, r) &&
        mayUseMachine(job, r.machine) &&
        (r.machine.zone === p.machine.zone || zoneAllows(job, r.machine)),
    );
    if (!room) continue;
    room.slots -= 1;
    room.cpus -= job.spec.cpus;
    room.gpus -= job.spec.gpus;
    room.memoryGb -= job.spec.memoryGb;
    takeShadow(job, room);
    moveAway(p);
  }
};

/** Replicas that find no room stop what loses least, as little as it takes for one replica after the other. */
const makeRoomForReplicas = (job: Job, missing: number, rooms: readonly Room[], now: Instant): void => {
  const level = PRIORITY_LEVEL[job.spec.priority];
  let left = missing;
  const options: { victims: Placement[]; loss: number }[] = [];
  for (const room of rooms) {
    if (!mayUseMachine(job, room.machine) || !zoneAllows(job, room.machine)) continue;
    const all = [...room.machine.placements.values()].filter((p) => occupies(p.phase));
    // Room that is already being made counts first.
    const stopping = all.filter((p) => p.kill);
    if (stopping.length > 0 && fitsIn(job, roomWith(room, stopping))) {
      left -= 1;
      continue;
    }
    const lower = all
      .filter((p) => p.job && !p.kill && !isService(p.job) && PRIORITY_LEVEL[p.job.spec.priority] < level)
      .map((p) => ({ p, loss: lossMs(p, now) }))
      .sort((a, b) => a.loss - b.loss);
    const victims: Placement[] = [];
    let loss = 0;
    for (const { p, loss: one } of lower) {
      victims.push(p);
      loss += one;
      if (!fitsIn(job, roomWith(room, victims))) continue;
      options.push({ victims, loss });
      break;
    }
  }
  options.sort((a, b) => a.loss - b.loss);
  for (const { victims } of options) {
    if (left <= 0) return;
    left -= 1;
    for (const p of victims) {
      const saves = (p.job?.spec.checkpointS ?? 0) > 0;
      p.kill = { graceS: saves ? (p.job?.spec.saveS ?? 0) + 5 : 0, sentAt: null };
    }
  }
};

/** The run time that is lost when an attempt is stopped. */
const lossMs = (p: Placement, now: Instant): number => {
  if (p.startedAt === null) return 0;
  const ran = now - p.startedAt;
  const save =
    (p.job?.spec.checkpointS ?? 0) > 0 ? (p.job?.spec.saveS ?? 0) * 1000 : Number.POSITIVE_INFINITY;
  return Math.min(ran, save);
};

/**
 * Before a new leader's wait is over, critical services alone are placed, on machines that have answered it: each replica is
 * missed at once, what may run where is known from the ledger, and it is not the order among arrays that the wait is for.
 */
export const placeWaitingReplicas = (state: CoreState, now: Instant): Round => {
  const placed: Placement[] = [];
  let waits = false;
  for (const job of state.jobs.values()) waits ||= goesFirst(job) && job.pending > 0 && job.final === 'none';
  if (!waits) return { placed, ranked: [] };
  const ranked = rankWaiting(state, now).filter(({ job }) => goesFirst(job));
  const rooms = roomsOf(state, now);
  for (const { job } of ranked) placed.push(...placeJob(state, job, rooms, now, 0).placed);
  return { placed, ranked };
};

/**
 * A job of which nothing has been on a machine for so long gets one task where there is room that the ranking leaves free, also if it
 * is reserved for the head or kept for services: no job is to wait for 90 s beside room that it could have.
 */
const STARVING_MS = 75_000;
const placeStarving = (
  state: CoreState,
  ranked: readonly Ranked<Job>[],
  rooms: readonly Room[],
  now: Instant,
): Placement[] => {
  const placed: Placement[] = [];
  for (const { job } of ranked) {
    if (job.held.size > 0 || now - job.idleSince < STARVING_MS) continue;
    job.starving = true;
    placed.push(...placeJob(state, job, rooms, now, 0, 1).placed);
    job.starving = false;
  }
  return placed;
};

export const runRound = (state: CoreState, now: Instant): Round => {
  const ranked = rankWaiting(state, now);
  const leaving = replicasToMove(state, now);
  const placed: Placement[] = [];
  state.shadowAt = null;
  if (ranked.length === 0 && leaving.length === 0) {
    state.head = null;
    return { placed, ranked };
  }
  keepMachines(state, now);
  // A job that fails everywhere grows old and would seize the head: it may wait, but not reserve.
  // Nor may a service: no estimate tells when it could start in full, and it could hold the head for ever.
  const canHead = (job: Job) => job.failedOn.size < SUSPECT_MACHINES && !isService(job);
  let head = ranked.find((r) => r.job.spec.id === state.head && canHead(r.job)) ?? null;
  head ??= ranked.find((r) => canHead(r.job)) ?? null;
  state.head = head?.job.spec.id ?? null;
  const rooms = roomsOf(state, now);
  const least = leastOf(ranked);
  // Replicas that are back from a machine that went find the room that was held for them.
  const first = ranked.filter(({ job }) => goesFirst(job));
  for (const { job } of first) {
    const result = placeJob(state, job, stillOpen(rooms, least), now, 0);
    for (const p of result.placed) placed.push(p);
    job.blockedBy = result.blockedBy;
    const missing = Math.min(job.pending, teamRoom(state, job));
    if (missing > 0 && !failsEverywhere(job)) makeRoomForReplicas(job, missing, rooms, now);
  }
  // Where replicas have just been placed no array is to start beside them, whose images would be fetched at the same time.
  if (placed.length > 0) keepMachines(state, now);
  holdForMoves(leaving, rooms);
  let open = stillOpen(rooms, least);
  let shadowAt = 0;
  const { firstTaskS } = state.config.policy;
  /** The first task of each job but the head that has waited this long and of which nothing has begun. */
  const firstTasks = (waitedS: number) => {
    for (const { job } of ranked) {
      if (now - job.submittedAt < waitedS * 1000 || job === head?.job || goesFirst(job)) continue;
      if (job.held.size > 0 || job.doneCount > 0) continue;
      if (open.length === 0) return;
      const result = placeJob(state, job, open, now, shadowAt, 1);
      for (const p of result.placed) placed.push(p);
      if (result.placed.length > 0) open = stillOpen(open, least);
    }
  };
  // Shortness ranks large arrays last, and deadlines that have passed count for nothing: under lasting overload such a
  // job would never begin. One that has waited long gets its first task ahead of the others, around the head; where heads
  // take up all that comes free, one that has waited half as long again gets it even so.
  firstTasks(firstTaskS * 1.5);
  if (head) {
    const result = placeJob(state, head.job, open, now, 0);
    for (const p of result.placed) placed.push(p);
    head.job.blockedBy = result.blockedBy;
    const missing = Math.min(head.job.pending, teamRoom(state, head.job));
    if (missing > 0) {
      const { makeRoomLevel, makeRoomS } = state.config.policy;
      const waited = now - head.job.submittedAt >= makeRoomS * 1000;
      if (waited && PRIORITY_LEVEL[head.job.spec.priority] >= makeRoomLevel)
        makeRoom(head.job, missing, rooms, now);
      for (const room of rooms) {
        room.shadowCpus = room.cpus;
        room.shadowGpus = room.gpus;
        room.shadowMemoryGb = room.memoryGb;
      }
      shadowAt = reserveForHead(head.job, missing, rooms, now);
      if (shadowAt > 0) state.shadowAt = shadowAt as Instant;
    }
  }
  firstTasks(firstTaskS);
  /** Needs that found no machine: in this round rooms only shrink, so that equal needs find none either. */
  const hopeless = new Set<string>();
  for (const { job } of ranked) {
    if (job === head?.job || goesFirst(job)) continue;
    const plain = !job.spec.oneZone && !job.spec.scatter && job.failedOn.size === 0;
    if (open.length === 0 || (plain && hopeless.has(job.needs))) {
      job.blockedBy = teamRoom(state, job) < 1 ? TEAM_LIMIT : NO_MACHINE;
      continue;
    }
    const result = placeJob(state, job, open, now, shadowAt);
    for (const p of result.placed) placed.push(p);
    job.blockedBy = result.blockedBy;
    if (plain && result.blockedBy === NO_MACHINE) hopeless.add(job.needs);
    if (result.placed.length > 0) open = stillOpen(open, least);
  }
  for (const p of placeStarving(state, ranked, stillOpen(rooms, least), now)) placed.push(p);
  // The head has started: the next round names a new one by score.
  if (head && head.job.pending <= 0) state.head = null;
  return { placed, ranked };
};
