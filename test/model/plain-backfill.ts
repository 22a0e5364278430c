/**
 * A plain reference model of the scheduling round, to compare the real one with: it scans whole
 * lists again for every task, caches nothing and relies only on the order that it states.
 */

/** An unfinished job; `cpus`, `gpus` and `memoryGb` are those of one task. */
export interface PlainJob {
  id: string;
  shape: 'array' | 'service';
  submittedAt: number;
  /** Since when the job has had no attempt on a machine. */
  idleSince: number;
  /** The priority: 3 for critical down to 0 for best effort. */
  level: number;
  team: string;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  machineTypes: string[] | null;
  zone: string | null;
  singleZone: boolean;
  spreadZones: boolean;
  allowsSpot: boolean;
  estimateS: number;
  deadlineS: number | null;
  imageGb: number;
}

/** A machine on which tasks can be placed. */
export interface PlainMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Reserved for services by earlier rounds. */
  isReservedForServices: boolean;
  /** Milliseconds until its next heartbeat, whose reply carries start commands. */
  nextHeartbeatMs: number;
  fetchGbPerS: number;
}

/** An attempt on a machine. */
export interface PlainAttempt {
  job: string;
  machine: string;
  /** How long it has run, in milliseconds. */
  elapsedMs: number;
  /** The end by the job's estimate; Infinity for replicas. */
  end: number;
}

/** The input of one scheduling round; `now` is in milliseconds. */
export interface PlainWorld {
  now: number;
  deadlineEstimateFactor: number;
  deadlineScoreMin: number;
  deadlineScoreMax: number;
  ageFactor: number;
  shortnessWeight: number;
  priorityWeight: number;
  /** After this wait, a job's first task is placed before tasks of higher-ranked jobs. */
  firstTaskAfterS: number;
  jobs: PlainJob[];
  /** Machine types with GPUs, in the fleet or not. */
  gpuTypes: { type: string; gpus: number }[];
  machines: PlainMachine[];
  attempts: PlainAttempt[];
  quotas: Record<string, { cpus: number; gpus: number }>;
  queueHead: string | null;
}

const EPSILON = 1e-6;

/** The score of a waiting job; `pendingTasks` counts the waiting tasks of a job. */
export const plainScore = (
  world: PlainWorld,
  job: PlainJob,
  waiting: PlainJob[],
  pendingTasks: (other: PlainJob) => number,
): number => {
  const aging = ((world.now - job.submittedAt) / 3_600_000) * world.ageFactor;
  let deadline = 0;
  if (job.deadlineS !== null && job.shape === 'array') {
    const deadlineAt = job.submittedAt + job.deadlineS * 1000;
    const overestimateMs = world.deadlineEstimateFactor * job.estimateS * 1000;
    const end = world.now + job.estimateS * 1000;
    if (end > deadlineAt) deadline = 0;
    else if (end < deadlineAt - overestimateMs || overestimateMs <= 0)
      deadline = world.deadlineScoreMin;
    else
      deadline =
        world.deadlineScoreMin +
        ((world.deadlineScoreMax - world.deadlineScoreMin) / overestimateMs) *
          (end - (deadlineAt - overestimateMs));
  }
  const gpuTypes = world.gpuTypes.map((gpuType) => gpuType.type);
  const gpusPerMachine = (type: string) =>
    world.gpuTypes.find((gpuType) => gpuType.type === type)?.gpus ?? 0;
  const requests = (other: PlainJob, type: string) =>
    other.gpus > 0 &&
    gpusPerMachine(type) >= other.gpus &&
    (other.machineTypes === null || other.machineTypes.includes(type));
  const ratio = (type: string) => {
    const requested = waiting
      .filter((other) => requests(other, type))
      .reduce((sum, other) => sum + other.gpus * pendingTasks(other), 0);
    const total = world.machines
      .filter((machine) => machine.type === type)
      .reduce((sum, machine) => sum + machine.gpus, 0);
    return requested / Math.max(total, 1);
  };
  const ampleTypeCount = gpuTypes.filter(
    (type) => waiting.some((other) => requests(other, type)) && ratio(type) <= 1,
  ).length;
  let scarcity = 0;
  for (const type of gpuTypes) {
    if (requests(job, type))
      scarcity += ratio(type) > 1 ? Math.max(ampleTypeCount, 1) * ratio(type) : ratio(type);
  }
  // For shortness, an array's estimate is the sum over its waiting tasks.
  const estimateS = (other: PlainJob) => other.estimateS * pendingTasks(other);
  const shortest = Math.min(...waiting.filter((other) => other.shape === 'array').map(estimateS));
  // A service has no end, so it is never the shortest job.
  const shortestOverOwn =
    job.shape === 'service' ? 0 : estimateS(job) > 0 ? shortest / estimateS(job) : 1;
  const shortness = world.shortnessWeight * shortestOverOwn;
  return aging + deadline + scarcity + shortness + world.priorityWeight * job.level;
};

/** Placements and preemptions of one round as "job@machine", in order, and the queue head. */
export const plainRound = (
  world: PlainWorld,
): { placed: string[]; queueHead: string | null; preempted: string[] } => {
  const jobOf = (id: string) => world.jobs.find((job) => job.id === id)!;
  const attempts = world.attempts.map((attempt) => ({ ...attempt }));
  const pendingTasks = (job: PlainJob) =>
    job.tasks - attempts.filter((r) => r.job === job.id).length;
  const waiting = world.jobs.filter((job) => pendingTasks(job) > 0);
  const scores = new Map(
    waiting.map((job) => [job.id, plainScore(world, job, waiting, pendingTasks)]),
  );
  waiting.sort(
    (a, b) =>
      scores.get(b.id)! - scores.get(a.id)! ||
      a.submittedAt - b.submittedAt ||
      (a.id < b.id ? -1 : 1),
  );
  const arrays = waiting.filter((job) => job.shape === 'array');
  const queueHead = arrays.find((job) => job.id === world.queueHead) ?? arrays[0];
  const preempted: string[] = [];
  if (waiting.length === 0) return { placed: [], queueHead: null, preempted };
  const hasQueuePrecedence = (job: PlainJob) => job.shape === 'service' && job.level === 3;

  const sum = (list: PlainAttempt[], resource: 'cpus' | 'gpus' | 'memoryGb') =>
    list.reduce((total, attempt) => total + jobOf(attempt.job)[resource], 0);
  const attemptsOn = (machine: PlainMachine) => attempts.filter((r) => r.machine === machine.id);
  const fits = (
    job: PlainJob,
    machine: PlainMachine,
    taken: { cpus: number; gpus: number; memoryGb: number },
  ) =>
    machine.cpus - taken.cpus + EPSILON >= job.cpus &&
    machine.gpus - taken.gpus + EPSILON >= job.gpus &&
    machine.memoryGb - taken.memoryGb + EPSILON >= job.memoryGb;
  const used = (machine: PlainMachine) => ({
    cpus: sum(attemptsOn(machine), 'cpus'),
    gpus: sum(attemptsOn(machine), 'gpus'),
    memoryGb: sum(attemptsOn(machine), 'memoryGb'),
  });
  const tasksWithinQuota = (job: PlainJob) => {
    const teamAttempts = attempts.filter((r) => jobOf(r.job).team === job.team);
    const quota = world.quotas[job.team]!;
    const byCpu =
      job.cpus > 0
        ? Math.floor((quota.cpus - sum(teamAttempts, 'cpus') + EPSILON) / job.cpus)
        : Infinity;
    const byGpu =
      job.gpus > 0
        ? Math.floor((quota.gpus - sum(teamAttempts, 'gpus') + EPSILON) / job.gpus)
        : Infinity;
    return Math.max(0, Math.min(byCpu, byGpu));
  };
  const zonesOf = (job: PlainJob) =>
    attempts
      .filter((r) => r.job === job.id)
      .map((r) => world.machines.find((machine) => machine.id === r.machine)!.zone);

  // Reserves on-demand machines for services that may not use spot machines: 1.5 times the CPUs of
  // all of them plus twice those of the largest. Zones take turns; in each, machines with replicas
  // come first, then those already reserved.
  const onDemandServices = world.jobs.filter((job) => job.shape === 'service' && !job.allowsSpot);
  const cpusByService = onDemandServices.map((job) => job.tasks * job.cpus);
  let reservedForServices = new Set<PlainMachine>(
    world.machines.filter((machine) => machine.isReservedForServices),
  );
  const onDemand = world.machines.filter((machine) => !machine.spot);
  const hasReplica = (machine: PlainMachine) =>
    attemptsOn(machine).some((r) => jobOf(r.job).shape === 'service');
  const reserveMachines = () => {
    const alreadyReserved = reservedForServices;
    reservedForServices = new Set();
    // Nothing is reserved while an array's first task is overdue.
    const hasOverdueFirstTask = arrays.some(
      (job) =>
        pendingTasks(job) === job.tasks &&
        world.now - job.submittedAt >= world.firstTaskAfterS * 1000,
    );
    if (hasOverdueFirstTask) return;
    let cpusToReserve =
      1.5 * cpusByService.reduce((a, b) => a + b, 0) + 2 * Math.max(0, ...cpusByService);
    const rank = (machine: PlainMachine) =>
      hasReplica(machine) ? 2 : alreadyReserved.has(machine) ? 1 : 0;
    for (let position = 0; position < onDemand.length; position += 1) {
      for (const z of [...new Set(onDemand.map((machine) => machine.zone))]) {
        const list = onDemand.filter((machine) => machine.zone === z);
        list.sort((a, b) => rank(b) - rank(a) || (a.id < b.id ? -1 : 1));
        const machine = list[position];
        if (!machine || cpusToReserve <= 0) continue;
        reservedForServices.add(machine);
        cpusToReserve -= machine.cpus;
      }
    }
  };
  reserveMachines();

  let starvingJob: PlainJob | null = null;
  const isFeasible = (job: PlainJob, machine: PlainMachine) =>
    (job.shape === 'service' ||
      !job.allowsSpot ||
      !reservedForServices.has(machine) ||
      job === starvingJob) &&
    (job.machineTypes === null || job.machineTypes.includes(machine.type)) &&
    (job.zone === null || job.zone === machine.zone) &&
    (job.allowsSpot || !machine.spot) &&
    (!job.singleZone || zonesOf(job).every((z) => z === machine.zone)) &&
    (!job.spreadZones ||
      zonesOf(job).filter((z) => z === machine.zone).length < Math.ceil(job.tasks / 2));
  const byPower = [...world.machines].sort(
    (a, b) =>
      b.gpus - a.gpus || b.cpus - a.cpus || b.memoryGb - a.memoryGb || (a.id < b.id ? -1 : 1),
  );

  const hasEqualPower = (a: PlainMachine, b: PlainMachine) =>
    a.gpus === b.gpus && a.cpus === b.cpus && a.memoryGb === b.memoryGb;

  const placed: string[] = [];
  const preemptedAttempts: PlainAttempt[] = [];
  let shadowTime = 0;
  // The head's reservation, and attempts that will have ended, at the shadow time.
  let headReservation: PlainAttempt[] = [];
  let endedAttempts: PlainAttempt[] = [];
  const outlastingShadowTime: PlainAttempt[] = [];
  /**
   * Image sizes that the machine fetches before the job's task runs there: its own image and those
   * of tasks that this round has placed there; 0 if the job already had an attempt there.
   */
  const gbToFetch = (job: PlainJob, machine: PlainMachine) => {
    const newAttempts = attempts
      .slice(world.attempts.length)
      .filter((r) => r.machine === machine.id);
    const formerJobs = world.attempts
      .filter((attempt) => attempt.machine === machine.id)
      .map((attempt) => attempt.job);
    if (formerJobs.includes(job.id)) return 0;
    const fetchingJobs = new Set(
      [...newAttempts.map((r) => r.job), job.id].filter((id) => !formerJobs.includes(id)),
    );
    return [...fetchingJobs].reduce((total, id) => total + jobOf(id).imageGb, 0);
  };
  const placeJob = (job: PlainJob, maxTasks = Infinity) => {
    let placedTasks = 0;
    const count = (machine: PlainMachine) =>
      attempts.filter((r) => r.job === job.id && r.machine === machine.id).length;
    // Delay until a replica would run on each machine.
    const startDelayMs = new Map(
      world.machines.map((machine) => [
        machine.id,
        machine.nextHeartbeatMs + (gbToFetch(job, machine) / machine.fetchGbPerS) * 1000,
      ]),
    );
    const maxShare = Math.ceil(job.tasks / 3);
    const hasMaxShare = (machine: PlainMachine) => (count(machine) >= maxShare ? 1 : 0);
    const delayStep = (machine: PlainMachine) => Math.floor(startDelayMs.get(machine.id)! / 3000);
    const delayS = (machine: PlainMachine) => Math.floor(startDelayMs.get(machine.id)! / 1000);
    const initialCount = new Map(world.machines.map((machine) => [machine.id, count(machine)]));
    let zone: string | null = null;
    if (job.singleZone && zonesOf(job).length === 0) {
      const slots = new Map<string, number>();
      for (const machine of byPower) {
        if (!isFeasible(job, machine) || !fits(job, machine, used(machine))) continue;
        const n =
          job.cpus > 0 ? Math.floor((machine.cpus - used(machine).cpus + EPSILON) / job.cpus) : 1;
        slots.set(machine.zone, (slots.get(machine.zone) ?? 0) + n);
      }
      for (const [z, n] of slots) if (zone === null || n > slots.get(zone)!) zone = z;
    }
    while (pendingTasks(job) > 0 && tasksWithinQuota(job) >= 1 && placedTasks < maxTasks) {
      const end = job.shape === 'service' ? Infinity : world.now + job.estimateS * 1000;
      const feasible = byPower.filter((other) => {
        if (
          !isFeasible(job, other) ||
          (zone !== null && other.zone !== zone) ||
          !fits(job, other, used(other))
        )
          return false;
        if (shadowTime === 0 || end <= shadowTime) return true;
        const attemptsBefore = attempts
          .slice(0, world.attempts.length)
          .filter((r) => r.machine === other.id && !endedAttempts.includes(r));
        const atShadowTime = [
          ...attemptsBefore,
          ...attempts
            .slice(world.attempts.length)
            .filter(
              (r) =>
                r.machine === other.id &&
                (r.job === queueHead?.id || outlastingShadowTime.includes(r)),
            ),
          ...headReservation.filter((r) => r.machine === other.id),
        ];
        // The head's own new attempts may have ended by then as well.
        const remaining = atShadowTime.filter((r) => !endedAttempts.includes(r));
        return fits(job, other, {
          cpus: sum(remaining, 'cpus'),
          gpus: sum(remaining, 'gpus'),
          memoryGb: sum(remaining, 'memoryGb'),
        });
      });
      // Replicas go where they run soonest, then where the job has fewest; machines with a third of
      // its replicas come last.
      if (job.shape === 'service') {
        feasible.sort(
          (a, b) =>
            hasMaxShare(a) - hasMaxShare(b) ||
            delayStep(a) - delayStep(b) ||
            count(a) - count(b) ||
            delayS(a) - delayS(b) ||
            initialCount.get(a.id)! - initialCount.get(b.id)!,
        );
      }
      const equallyPowerful = feasible.filter((other) => hasEqualPower(other, feasible[0]!));
      // Among equally powerful machines, one with an attempt of the job, and so its image, wins.
      const cached = equallyPowerful.find((other) =>
        attempts.some((r) => r.job === job.id && r.machine === other.id),
      );
      const machine = job.shape === 'service' ? feasible[0] : (cached ?? equallyPowerful[0]);
      if (!machine) return;
      const attempt = { job: job.id, machine: machine.id, elapsedMs: 0, end };
      attempts.push(attempt);
      placedTasks += 1;
      placed.push(`${job.id}@${machine.id}`);
      // Attempts placed before the reservation, or ending after it, count at the shadow time.
      if (shadowTime > 0 ? end > shadowTime : job !== queueHead) outlastingShadowTime.push(attempt);
    }
  };

  const placeOverdueFirstTasks = (minWaitS: number) => {
    for (const job of waiting) {
      const isOverdue = world.now - job.submittedAt >= minWaitS * 1000;
      if (
        job !== queueHead &&
        !hasQueuePrecedence(job) &&
        isOverdue &&
        pendingTasks(job) === job.tasks
      )
        placeJob(job, 1);
    }
  };
  // Critical services are placed before the queue; for replicas that do not fit, they preempt array
  // tasks of lower priority where the least run time is lost.
  for (const job of waiting.filter(hasQueuePrecedence)) {
    placeJob(job);
    let missingReplicas = Math.min(pendingTasks(job), tasksWithinQuota(job));
    const options: { victims: PlainAttempt[]; loss: number }[] = [];
    for (const machine of byPower) {
      if (!isFeasible(job, machine)) continue;
      const without = (victims: PlainAttempt[]) => {
        const rest = attemptsOn(machine).filter((r) => !victims.includes(r));
        return {
          cpus: sum(rest, 'cpus'),
          gpus: sum(rest, 'gpus'),
          memoryGb: sum(rest, 'memoryGb'),
        };
      };
      const stopping = attemptsOn(machine).filter((r) => preemptedAttempts.includes(r));
      if (stopping.length > 0 && fits(job, machine, without(stopping))) {
        missingReplicas -= 1;
        continue;
      }
      const lower = attemptsOn(machine)
        .filter(
          (r) =>
            !preemptedAttempts.includes(r) &&
            jobOf(r.job).shape === 'array' &&
            jobOf(r.job).level < 3,
        )
        .sort((a, b) => a.elapsedMs - b.elapsedMs);
      const lastVictim = lower.findIndex((_, i) =>
        fits(job, machine, without(lower.slice(0, i + 1))),
      );
      if (lastVictim < 0) continue;
      const victims = lower.slice(0, lastVictim + 1);
      options.push({ victims, loss: victims.reduce((total, r) => total + r.elapsedMs, 0) });
    }
    options.sort((a, b) => a.loss - b.loss);
    for (const { victims } of options.slice(0, Math.max(0, missingReplicas))) {
      for (const attempt of victims) {
        preemptedAttempts.push(attempt);
        attempt.end = world.now + 500;
        preempted.push(`${attempt.job}@${attempt.machine}`);
      }
    }
  }
  reserveMachines();
  placeOverdueFirstTasks(world.firstTaskAfterS * 1.5);
  if (queueHead) placeJob(queueHead);
  let missingTasks = queueHead ? Math.min(pendingTasks(queueHead), tasksWithinQuota(queueHead)) : 0;
  if (queueHead && missingTasks > 0) {
    const ends = attempts
      .map((r, position) => ({ r, position }))
      .filter(({ r }) => r.end < Infinity)
      .sort((a, b) => a.r.end - b.r.end || a.position - b.position);
    for (const { r } of ends) {
      if (missingTasks <= 0) break;
      endedAttempts = [...endedAttempts, r];
      const machine = world.machines.find((other) => other.id === r.machine)!;
      if (!isFeasible(queueHead, machine)) continue;
      for (;;) {
        const remaining = [
          ...attempts.filter((x) => x.machine === machine.id && !endedAttempts.includes(x)),
          ...headReservation.filter((attempt) => attempt.machine === machine.id),
        ];
        const taken = {
          cpus: sum(remaining, 'cpus'),
          gpus: sum(remaining, 'gpus'),
          memoryGb: sum(remaining, 'memoryGb'),
        };
        if (missingTasks <= 0 || !fits(queueHead, machine, taken)) break;
        headReservation = [
          ...headReservation,
          { job: queueHead.id, machine: machine.id, elapsedMs: 0, end: 0 },
        ];
        missingTasks -= 1;
        shadowTime = r.end;
      }
    }
  }
  placeOverdueFirstTasks(world.firstTaskAfterS);
  for (const job of waiting) if (job !== queueHead && !hasQueuePrecedence(job)) placeJob(job);
  // A job without an attempt for 75 s is starving: its next task may use reserved capacity.
  shadowTime = 0;
  for (const job of waiting) {
    if (pendingTasks(job) < job.tasks || world.now - job.idleSince < 75_000) continue;
    starvingJob = job;
    placeJob(job, 1);
    starvingJob = null;
  }
  return {
    placed,
    queueHead: queueHead && pendingTasks(queueHead) > 0 ? queueHead.id : null,
    preempted,
  };
};
