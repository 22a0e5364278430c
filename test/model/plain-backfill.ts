/**
 * The design written down as plainly as can be, to compare the real round with: whole lists are
 * scanned again for every task, nothing is cached between tasks, and no order is relied on but the
 * stated one.
 */

/** A waiting job; amounts are those of one task. */
export interface PlainJob {
  id: string;
  shape: 'array' | 'service';
  submittedAt: number;
  /** Since when it has had nothing on a machine. */
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

/** A machine that takes work. */
export interface PlainMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Reserved for services up to now. */
  isReservedForServices: boolean;
  /** Milliseconds until its next heartbeat, whose reply carries starts. */
  nextHeartbeatMs: number;
  fetchGbPerS: number;
}

/** An attempt on a machine. */
export interface PlainAttempt {
  job: string;
  machine: string;
  /** How long it has run, in milliseconds. */
  elapsedMs: number;
  /** When it should end by its estimate; replicas have no end. */
  end: number;
}

/** All that a round decides on. */
export interface PlainWorld {
  now: number;
  deadlineEstimateFactor: number;
  deadlineScoreMin: number;
  deadlineScoreMax: number;
  ageFactor: number;
  shortnessWeight: number;
  priorityWeight: number;
  /** After this long a job's first task goes ahead of better ranked ones. */
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

/** The score of a waiting job; `pendingTasks` tells how many tasks of a job wait. */
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
  const gpuTypes = world.gpuTypes.map((k) => k.type);
  const gpusPerMachine = (type: string) => world.gpuTypes.find((k) => k.type === type)?.gpus ?? 0;
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
  const ample = gpuTypes.filter(
    (type) => waiting.some((other) => requests(other, type)) && ratio(type) <= 1,
  ).length;
  let scarcity = 0;
  for (const type of gpuTypes) {
    if (requests(job, type))
      scarcity += ratio(type) > 1 ? Math.max(ample, 1) * ratio(type) : ratio(type);
  }
  // An array's estimate, for shortness, is that of its waiting tasks one after the other.
  const estimateS = (other: PlainJob) => other.estimateS * pendingTasks(other);
  const shortest = Math.min(...waiting.filter((other) => other.shape === 'array').map(estimateS));
  // A service never ends: it is never the shortest.
  const shortestOverOwn =
    job.shape === 'service' ? 0 : estimateS(job) > 0 ? shortest / estimateS(job) : 1;
  const shortness = world.shortnessWeight * shortestOverOwn;
  return aging + deadline + scarcity + shortness + world.priorityWeight * job.level;
};

/** What one round places and preempts, as "job@machine", in order, and who heads the queue. */
export const plainRound = (
  world: PlainWorld,
): { placed: string[]; queueHead: string | null; preempted: string[] } => {
  const jobOf = (id: string) => world.jobs.find((job) => job.id === id)!;
  const runs = world.attempts.map((run) => ({ ...run }));
  const pendingTasks = (job: PlainJob) => job.tasks - runs.filter((r) => r.job === job.id).length;
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

  const sum = (list: PlainAttempt[], what: 'cpus' | 'gpus' | 'memoryGb') =>
    list.reduce((total, run) => total + jobOf(run.job)[what], 0);
  const runsOn = (machine: PlainMachine) => runs.filter((r) => r.machine === machine.id);
  const fits = (
    job: PlainJob,
    machine: PlainMachine,
    taken: { cpus: number; gpus: number; memoryGb: number },
  ) =>
    machine.cpus - taken.cpus + EPSILON >= job.cpus &&
    machine.gpus - taken.gpus + EPSILON >= job.gpus &&
    machine.memoryGb - taken.memoryGb + EPSILON >= job.memoryGb;
  const used = (machine: PlainMachine) => ({
    cpus: sum(runsOn(machine), 'cpus'),
    gpus: sum(runsOn(machine), 'gpus'),
    memoryGb: sum(runsOn(machine), 'memoryGb'),
  });
  const tasksWithinQuota = (job: PlainJob) => {
    const teamRuns = runs.filter((r) => jobOf(r.job).team === job.team);
    const quota = world.quotas[job.team]!;
    const byCpu =
      job.cpus > 0
        ? Math.floor((quota.cpus - sum(teamRuns, 'cpus') + EPSILON) / job.cpus)
        : Infinity;
    const byGpu =
      job.gpus > 0
        ? Math.floor((quota.gpus - sum(teamRuns, 'gpus') + EPSILON) / job.gpus)
        : Infinity;
    return Math.max(0, Math.min(byCpu, byGpu));
  };
  const zonesOf = (job: PlainJob) =>
    runs
      .filter((r) => r.job === job.id)
      .map((r) => world.machines.find((machine) => machine.id === r.machine)!.zone);

  // On-demand machines are reserved for the services that may use no others: what these take and
  // half as much again, and twice the largest; of each zone in turn, those with replicas first,
  // then those reserved before.
  const onDemandServices = world.jobs.filter((job) => job.shape === 'service' && !job.allowsSpot);
  const sizes = onDemandServices.map((job) => job.tasks * job.cpus);
  let reservedForServices = new Set<PlainMachine>(
    world.machines.filter((machine) => machine.isReservedForServices),
  );
  const onDemand = world.machines.filter((machine) => !machine.spot);
  const hasReplica = (machine: PlainMachine) =>
    runsOn(machine).some((r) => jobOf(r.job).shape === 'service');
  const reserveMachines = () => {
    const before = reservedForServices;
    reservedForServices = new Set();
    // Nothing is reserved against an array that has long waited for its first task.
    const hasOverdueFirstTask = arrays.some(
      (job) =>
        pendingTasks(job) === job.tasks &&
        world.now - job.submittedAt >= world.firstTaskAfterS * 1000,
    );
    if (hasOverdueFirstTask) return;
    let cpusToReserve = 1.5 * sizes.reduce((a, b) => a + b, 0) + 2 * Math.max(0, ...sizes);
    const rank = (machine: PlainMachine) => (hasReplica(machine) ? 2 : before.has(machine) ? 1 : 0);
    for (let turn = 0; turn < onDemand.length; turn += 1) {
      for (const z of [...new Set(onDemand.map((machine) => machine.zone))]) {
        const list = onDemand.filter((machine) => machine.zone === z);
        list.sort((a, b) => rank(b) - rank(a) || (a.id < b.id ? -1 : 1));
        const machine = list[turn];
        if (!machine || cpusToReserve <= 0) continue;
        reservedForServices.add(machine);
        cpusToReserve -= machine.cpus;
      }
    }
  };
  reserveMachines();

  let starving: PlainJob | null = null;
  const isFeasible = (job: PlainJob, machine: PlainMachine) =>
    (job.shape === 'service' ||
      !job.allowsSpot ||
      !reservedForServices.has(machine) ||
      job === starving) &&
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
  const preemptedRuns: PlainAttempt[] = [];
  let shadowTime = 0;
  // What is reserved for the head, and who will have ended, at the shadow time.
  let headReservation: PlainAttempt[] = [];
  let endedRuns: PlainAttempt[] = [];
  const outlastingShadowTime: PlainAttempt[] = [];
  /**
   * Its own image, and those that the machine fetches for tasks that this round has just started
   * there.
   */
  const gbToFetch = (job: PlainJob, machine: PlainMachine) => {
    const newRuns = runs.slice(world.attempts.length).filter((r) => r.machine === machine.id);
    const formerJobs = world.attempts
      .filter((run) => run.machine === machine.id)
      .map((run) => run.job);
    if (formerJobs.includes(job.id)) return 0;
    const names = new Set(
      [...newRuns.map((r) => r.job), job.id].filter((id) => !formerJobs.includes(id)),
    );
    return [...names].reduce((total, id) => total + jobOf(id).imageGb, 0);
  };
  const placeJob = (job: PlainJob, maxTasks = Infinity) => {
    let placedTasks = 0;
    const count = (machine: PlainMachine) =>
      runs.filter((r) => r.job === job.id && r.machine === machine.id).length;
    // A replica would run there in so many seconds.
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
    const before = new Map(world.machines.map((machine) => [machine.id, count(machine)]));
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
        const before = runs
          .slice(0, world.attempts.length)
          .filter((r) => r.machine === other.id && !endedRuns.includes(r));
        const atShadowTime = [
          ...before,
          ...runs
            .slice(world.attempts.length)
            .filter(
              (r) =>
                r.machine === other.id &&
                (r.job === queueHead?.id || outlastingShadowTime.includes(r)),
            ),
          ...headReservation.filter((r) => r.machine === other.id),
        ];
        // The head's own fresh starts may have ended by then, too.
        const remaining = atShadowTime.filter((r) => !endedRuns.includes(r));
        return fits(job, other, {
          cpus: sum(remaining, 'cpus'),
          gpus: sum(remaining, 'gpus'),
          memoryGb: sum(remaining, 'memoryGb'),
        });
      });
      // Replicas go where they run soonest, there to one machine after the other, and no third of
      // them to one.
      if (job.shape === 'service') {
        feasible.sort(
          (a, b) =>
            hasMaxShare(a) - hasMaxShare(b) ||
            delayStep(a) - delayStep(b) ||
            count(a) - count(b) ||
            delayS(a) - delayS(b) ||
            before.get(a.id)! - before.get(b.id)!,
        );
      }
      const equallyPowerful = feasible.filter((other) => hasEqualPower(other, feasible[0]!));
      // Among equals one where a task of the job has been, and so its image, comes first.
      const cached = equallyPowerful.find((other) =>
        runs.some((r) => r.job === job.id && r.machine === other.id),
      );
      const machine = job.shape === 'service' ? feasible[0] : (cached ?? equallyPowerful[0]);
      if (!machine) return;
      const run = { job: job.id, machine: machine.id, elapsedMs: 0, end };
      runs.push(run);
      placedTasks += 1;
      placed.push(`${job.id}@${machine.id}`);
      // What started before the head counts at the shadow time, unless it has ended by then.
      if (shadowTime > 0 ? end > shadowTime : job !== queueHead) outlastingShadowTime.push(run);
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
  // Critical services go ahead of the queue; what they miss, they preempt: of lower priority, what
  // loses least.
  for (const job of waiting.filter(hasQueuePrecedence)) {
    placeJob(job);
    let missingReplicas = Math.min(pendingTasks(job), tasksWithinQuota(job));
    const options: { victims: PlainAttempt[]; loss: number }[] = [];
    for (const machine of byPower) {
      if (!isFeasible(job, machine)) continue;
      const without = (victims: PlainAttempt[]) => {
        const rest = runsOn(machine).filter((r) => !victims.includes(r));
        return {
          cpus: sum(rest, 'cpus'),
          gpus: sum(rest, 'gpus'),
          memoryGb: sum(rest, 'memoryGb'),
        };
      };
      const stopping = runsOn(machine).filter((r) => preemptedRuns.includes(r));
      if (stopping.length > 0 && fits(job, machine, without(stopping))) {
        missingReplicas -= 1;
        continue;
      }
      const lower = runsOn(machine)
        .filter(
          (r) =>
            !preemptedRuns.includes(r) && jobOf(r.job).shape === 'array' && jobOf(r.job).level < 3,
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
      for (const run of victims) {
        preemptedRuns.push(run);
        run.end = world.now + 500;
        preempted.push(`${run.job}@${run.machine}`);
      }
    }
  }
  reserveMachines();
  placeOverdueFirstTasks(world.firstTaskAfterS * 1.5);
  if (queueHead) placeJob(queueHead);
  let missingTasks = queueHead ? Math.min(pendingTasks(queueHead), tasksWithinQuota(queueHead)) : 0;
  if (queueHead && missingTasks > 0) {
    const ends = runs
      .map((r, at) => ({ r, at }))
      .filter(({ r }) => r.end < Infinity)
      .sort((a, b) => a.r.end - b.r.end || a.at - b.at);
    for (const { r } of ends) {
      if (missingTasks <= 0) break;
      endedRuns = [...endedRuns, r];
      const machine = world.machines.find((other) => other.id === r.machine)!;
      if (!isFeasible(queueHead, machine)) continue;
      for (;;) {
        const remaining = [
          ...runs.filter((x) => x.machine === machine.id && !endedRuns.includes(x)),
          ...headReservation.filter((run) => run.machine === machine.id),
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
  // After 75 s without anything on a machine a job is starving: nothing is reserved against its
  // next task.
  shadowTime = 0;
  for (const job of waiting) {
    if (pendingTasks(job) < job.tasks || world.now - job.idleSince < 75_000) continue;
    starving = job;
    placeJob(job, 1);
    starving = null;
  }
  return {
    placed,
    queueHead: queueHead && pendingTasks(queueHead) > 0 ? queueHead.id : null,
    preempted,
  };
};
