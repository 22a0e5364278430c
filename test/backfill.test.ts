import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { DEFAULT_POLICY } from '../src/adapters/configuration/policy.js';
import { createMachine } from '../src/core/fleet/machine-health.js';
import { addPlacement, releasePlacement } from '../src/core/lifecycle/attempts.js';
import { createJob, takePendingTask } from '../src/core/lifecycle/job-tasks.js';
import type { Placement } from '../src/core/model/entities.js';
import type {
  AttemptId,
  JobId,
  MachineId,
  MachineTypeName,
  ReplyTicket,
  ZoneName,
} from '../src/core/model/ids.js';
import { isService, PRIORITY_LEVEL } from '../src/core/model/job.js';
import type { Policy } from '../src/core/model/policy.js';
import type { Instant } from '../src/core/model/time.js';
import { runSchedulingRound } from '../src/core/scheduling/backfill.js';
import { scoreDeadline } from '../src/core/scheduling/scoring.js';
import { type PlainWorld, plainRound } from './model/plain-backfill.js';
import { core, type JobOverrides, job, machineType, team } from './support/builders.js';

const TYPES = [
  machineType('small', { cpus: 4, memoryGb: 16 }),
  machineType('big', { cpus: 8, memoryGb: 32 }),
  machineType('gpu', { cpus: 8, gpus: 2, memoryGb: 32 }),
];
const NOW = 1_000_000;

const jobArbitrary = fc.record({
  ageS: fc.integer({ min: 0, max: 600 }),
  shape: fc.constantFrom('array' as const, 'array' as const, 'array' as const, 'service' as const),
  idleS: fc.constantFrom(1000, 1000, 1000, 20, 65, 80),
  priority: fc.constantFrom(
    'critical' as const,
    'urgent' as const,
    'standard' as const,
    'best_effort' as const,
  ),
  team: fc.constantFrom('blue', 'green'),
  tasks: fc.integer({ min: 1, max: 6 }),
  cpus: fc.constantFrom(1, 2, 4),
  gpus: fc.constantFrom(0, 0, 0, 1),
  memoryGb: fc.constantFrom(1, 4, 9),
  machineTypes: fc.constantFrom<string[] | null>(null, null, ['big', 'gpu'], ['small']),
  zone: fc.constantFrom(null, null, null, 'a'),
  singleZone: fc.boolean(),
  spreadZones: fc.boolean(),
  allowsSpot: fc.boolean(),
  estimateS: fc.integer({ min: 1, max: 90 }),
  deadlineS: fc.option(fc.integer({ min: 10, max: 900 })),
  imageGb: fc.constantFrom(0, 0, 1.5, 3),
});
const machineArbitrary = fc.record({
  type: fc.constantFrom(...TYPES.map((machineType) => machineType.name as string)),
  zone: fc.constantFrom('a', 'b'),
  spot: fc.boolean(),
  isReservedForServices: fc.boolean(),
  heartbeatAgeMs: fc.constantFrom(0, 700, 2100),
  hasPendingReply: fc.boolean(),
});
const worldArbitrary = fc.record({
  jobs: fc.array(jobArbitrary, { minLength: 1, maxLength: 8 }),
  machines: fc.array(machineArbitrary, { minLength: 1, maxLength: 5 }),
  running: fc.array(
    fc.record({ job: fc.nat(7), machine: fc.nat(4), startedAgoS: fc.integer({ min: 0, max: 40 }) }),
    {
      maxLength: 8,
    },
  ),
  headIndex: fc.option(fc.nat(7)),
});

type GeneratedWorld = typeof worldArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** Builds one world as core state and as input of the reference model. */
const buildWorld = (generated: GeneratedWorld, blueCpus = 24, greenCpus = 10) => {
  const quotas = { blue: { cpus: blueCpus, gpus: 4 }, green: { cpus: greenCpus, gpus: 1 } };
  const teams = [team('blue', blueCpus, 4), team('green', greenCpus, 1)];
  const state = core({ teams: new Map(teams.map((t) => [t.name, t])) });
  for (const machineType of TYPES) state.types.set(machineType.name, machineType);
  const world: PlainWorld = {
    now: NOW,
    ...DEFAULT_POLICY,
    jobs: [],
    gpuTypes: [{ type: 'gpu', gpus: 2 }],
    machines: [],
    attempts: [],
    quotas,
    queueHead: generated.headIndex === null ? null : `job-${generated.headIndex}`,
  };
  state.queueHead = world.queueHead as JobId | null;
  generated.jobs.forEach(({ ageS, idleS, ...rest }, i) => {
    const submittedAt = NOW - ageS * 1000;
    const idleSince = NOW - Math.min(ageS, idleS) * 1000;
    world.jobs.push({
      id: `job-${i}`,
      submittedAt,
      idleSince,
      level: PRIORITY_LEVEL[rest.priority],
      ...rest,
    });
    const spec = job(`job-${i}`, { ...rest, image: `img-${i}` });
    const waitingJob = createJob(spec, submittedAt as Instant);
    waitingJob.idleSince = idleSince as Instant;
    state.jobs.set(spec.id, waitingJob);
  });
  generated.machines.forEach((attributes, i) => {
    const machineType = TYPES.find(({ name }) => name === attributes.type)!;
    const id = `n-${i}`;
    const nextHeartbeatMs = attributes.hasPendingReply
      ? 0
      : Math.max(0, state.config.heartbeatIntervalMs - attributes.heartbeatAgeMs);
    const { cpus, gpus, memoryGb, fetchGbPerS } = machineType;
    world.machines.push({
      id,
      ...attributes,
      cpus,
      gpus,
      memoryGb,
      fetchGbPerS,
      nextHeartbeatMs,
    });
    const location = {
      endpoint: '',
      type: attributes.type as MachineTypeName,
      zone: attributes.zone as ZoneName,
      spot: attributes.spot,
    };
    const machine = createMachine(id as MachineId, location, 0 as Instant, NOW as Instant);
    machine.isReady = true;
    machine.hasReported = true;
    machine.isReservedForServices = attributes.isReservedForServices;
    machine.lastHeartbeatAt = (NOW - attributes.heartbeatAgeMs) as Instant;
    if (attributes.hasPendingReply)
      machine.pendingReply = { ticket: 1 as ReplyTicket, since: NOW as Instant };
    state.machines.set(machine.id, machine);
  });
  generated.running.forEach((run, i) => {
    const job = [...state.jobs.values()][run.job % state.jobs.size]!;
    const machine = [...state.machines.values()][run.machine % state.machines.size]!;
    const index = takePendingTask(job);
    if (index === null) return;
    const startedAt = (NOW - run.startedAgoS * 1000) as Instant;
    const { id, team: teamName, cpus, gpus, memoryGb, estimateS } = job.spec;
    const placement: Placement = {
      entry: {
        job: id,
        index,
        attempt: (i + 1) as AttemptId,
        team: teamName,
        cpus,
        gpus,
        memoryGb,
      },
      machine,
      job,
      placedAt: startedAt,
      phase: 'running',
      startedAt,
      dispatchedEpoch: null,
      stopRequest: null,
      isSuperseded: false,
      requiredProgress: null,
      segment: null,
    };
    addPlacement(state, placement);
    machine.images.add(job.spec.image);
    const estimatedEnd = Math.max(
      startedAt + estimateS * 1000,
      NOW + Math.max(1000, (estimateS * 1000) / 4),
    );
    const end = isService(job) ? Number.POSITIVE_INFINITY : estimatedEnd;
    world.attempts.push({ job: id, machine: machine.id, elapsedMs: NOW - startedAt, end });
  });
  return { state, world };
};

describe('runSchedulingRound', () => {
  it('matches the reference model in placements, preemptions and the queue head', () => {
    let placements = 0;
    let reservations = 0;
    let replicas = 0;
    let preemptions = 0;
    let reservedMachines = 0;
    fc.assert(
      fc.property(worldArbitrary, (generated) => {
        const { state, world } = buildWorld(generated);
        const expected = plainRound(world);
        const actual = runSchedulingRound(state, NOW as Instant);
        const placed = actual.placed.map(
          (placement) => `${placement.entry.job}@${placement.machine.id}`,
        );
        expect(placed).toEqual(expected.placed);
        expect(state.queueHead).toBe(expected.queueHead);
        const preempted = [...state.machines.values()].flatMap((machine) =>
          [...machine.placements.values()]
            .filter((placement) => placement.stopRequest)
            .map((placement) => `${placement.entry.job}@${machine.id}`),
        );
        expect(preempted.sort()).toEqual(expected.preempted.sort());
        preemptions += preempted.length;
        replicas += actual.placed.filter((placement) => isService(placement.job!)).length;
        reservedMachines += [...state.machines.values()].filter(
          (machine) => machine.isReservedForServices,
        ).length;
        placements += placed.length;
        if (state.shadowTime !== null) reservations += 1;
      }),
      { seed: 20261, numRuns: 3000 },
    );
    // Guards against worlds too simple for a meaningful comparison.
    expect(placements).toBeGreaterThan(1000);
    expect(reservations).toBeGreaterThan(100);
    expect(replicas).toBeGreaterThan(300);
    expect(preemptions).toBeGreaterThan(50);
    expect(reservedMachines).toBeGreaterThan(300);
  });

  /** Builds a mostly busy fleet with a backlog; `visits` counts image and placement reads. */
  const buildFleet = (
    machines: number,
    jobs: number,
    headTasks: number,
    runningTasks: number,
    services = false,
  ) => {
    const machineTypes = ['small', 'big', 'big'];
    const generated: GeneratedWorld = {
      jobs: Array.from({ length: jobs }, (_, i) => ({
        ageS: (i * 37) % 300,
        idleS: 1000,
        shape: services && i % 6 === 3 && i < 200 ? 'service' : 'array',
        priority: (['critical', 'best_effort', 'standard'] as const)[i % 3]!,
        team: i % 2 ? 'green' : 'blue',
        tasks: i === 0 ? headTasks : 1 + ((i * 7) % 50),
        cpus: i % 3 === 1 ? 4 : 1,
        gpus: 0,
        memoryGb: 1,
        machineTypes: null,
        zone: null,
        singleZone: false,
        spreadZones: false,
        allowsSpot: true,
        estimateS: 10 + ((i * 13) % 60),
        deadlineS: i % 3 === 0 ? 60 : null,
        imageGb: ([0, 1.5, 3] as const)[i % 3]!,
      })),
      machines: Array.from({ length: machines }, (_, i) => ({
        type: machineTypes[i % 3]!,
        zone: i % 2 ? 'a' : 'b',
        spot: i % 9 !== 0,
        isReservedForServices: false,
        heartbeatAgeMs: 0,
        hasPendingReply: i % 2 === 0,
      })),
      running: Array.from({ length: runningTasks }, (_, i) => ({
        job: i,
        machine: i,
        startedAgoS: i % 30,
      })),
      headIndex: 0,
    };
    const { state, world } = buildWorld(generated, machines * 5, machines * 4);
    let visits = 0;
    for (const machine of state.machines.values()) {
      const { images, placements } = machine;
      const hasImage = images.has.bind(images);
      images.has = (image) => {
        visits += 1;
        return hasImage(image);
      };
      const values = placements.values.bind(placements);
      placements.values = () => {
        visits += placements.size;
        return values();
      };
    }
    return { state, world, visits: () => visits };
  };

  it('matches the reference model in placements on a fleet of 990 machines', () => {
    const { state, world } = buildFleet(990, 6, 40, 60);
    const expected = plainRound(world);
    const actual = runSchedulingRound(state, NOW as Instant);
    expect(
      actual.placed.map((placement) => `${placement.entry.job}@${placement.machine.id}`),
    ).toEqual(expected.placed);
    expect(actual.placed.length).toBeGreaterThan(50);
  });

  it.each([false, true])(
    'does work that is linear in the size of the fleet (services: %s)',
    (services) => {
      // The queue head has more tasks than fit, so it gets a reservation.
      const single = buildFleet(990, 200, 5000, 2970, services);
      const doubled = buildFleet(1980, 400, 10_000, 5940, services);
      const placed = [single, doubled].map(
        ({ state }) => runSchedulingRound(state, NOW as Instant).placed.length,
      );
      expect(Math.min(...placed)).toBeGreaterThan(1000);
      for (const { state } of [single, doubled]) expect(state.shadowTime).not.toBeNull();
      expect(doubled.visits()).toBeLessThan(2.6 * single.visits());
      // Far below one visit per waiting task and machine.
      expect(single.visits()).toBeLessThan(60 * 990);
    },
  );

  it('keeps the queue head until it has started, whatever jobs arrive', () => {
    const state = core();
    state.types.set('c8' as MachineTypeName, machineType('c8'));
    const location = {
      endpoint: '',
      type: 'c8' as MachineTypeName,
      zone: 'a' as ZoneName,
      spot: false,
    };
    const machine = createMachine('n-1' as MachineId, location, 0 as Instant, 0 as Instant);
    machine.isReady = true;
    state.machines.set(machine.id, machine);
    const addJob = (id: string, changes: JobOverrides) => {
      const spec = job(id, changes);
      state.jobs.set(spec.id, createJob(spec, 0 as Instant));
    };
    addJob('job-1', { cpus: 6, estimateS: 50 });
    runSchedulingRound(state, 0 as Instant);
    addJob('job-2', { cpus: 4, estimateS: 20 });
    runSchedulingRound(state, 0 as Instant);
    expect(state.queueHead).toBe('job-2');
    // job-3 is shorter and scores higher, but must neither replace the head nor delay its start.
    addJob('job-3', { cpus: 1, estimateS: 1 });
    addJob('job-4', { cpus: 1, estimateS: 400, tasks: 4 });
    const round = runSchedulingRound(state, 0 as Instant);
    expect(state.queueHead).toBe('job-2');
    expect(state.shadowTime).toBe(50_000);
    const placed = round.placed.map((placement) => placement.entry.job);
    expect(placed.filter((id) => id === 'job-3')).toHaveLength(1);
    expect(placed.filter((id) => id === 'job-4')).toHaveLength(1);
  });

  it('preempts only checkpointing tasks of lower priority, no more than the head needs', () => {
    const location = {
      endpoint: '',
      type: 'c8' as MachineTypeName,
      zone: 'a' as ZoneName,
      spot: false,
    };
    const runPreemption = (
      victimChanges: JobOverrides,
      headChanges: JobOverrides,
      startedAt = 0,
      policy: Partial<Policy> = {},
    ) => {
      const state = core({}, policy);
      state.types.set('c8' as MachineTypeName, machineType('c8'));
      const machine = createMachine('n-1' as MachineId, location, 0 as Instant, 0 as Instant);
      machine.isReady = true;
      machine.lastHeartbeatAt = 64_000 as Instant;
      state.machines.set(machine.id, machine);
      const victimJob = job('job-1', {
        priority: 'best_effort',
        tasks: 4,
        cpus: 2,
        estimateS: 500,
        ...victimChanges,
      });
      state.jobs.set(victimJob.id, createJob(victimJob, 0 as Instant));
      for (const placement of runSchedulingRound(state, 0 as Instant).placed) {
        placement.phase = 'running';
        placement.startedAt = startedAt as Instant;
      }
      const headJob = job('job-2', { priority: 'urgent', cpus: 3, ...headChanges });
      state.jobs.set(headJob.id, createJob(headJob, 50_000 as Instant));
      // This job fits any gap, but must not take the capacity freed for the head.
      const smallJob = job('job-3', { priority: 'standard', tasks: 20, estimateS: 100 });
      state.jobs.set(smallJob.id, createJob(smallJob, 50_000 as Instant));
      const round = runSchedulingRound(state, 60_000 as Instant);
      expect(round.placed).toEqual([]);
      const stopped = () =>
        [...machine.placements.values()].filter((placement) => placement.stopRequest);
      const firstStopCount = stopped().length;
      runSchedulingRound(state, 60_100 as Instant);
      expect(stopped().length).toBe(firstStopCount);
      return { state, stopped: stopped() };
    };
    const checkpointing = { checkpointIntervalS: 10, checkpointWriteS: 3 };
    const { state, stopped } = runPreemption(checkpointing, {});
    expect(stopped).toHaveLength(2);
    expect(stopped[0]?.stopRequest?.graceS).toBeGreaterThan(3);
    for (const placement of stopped) releasePlacement(state, placement, 64_000 as Instant);
    const placed = runSchedulingRound(state, 64_000 as Instant).placed.map(
      (placement) => placement.entry.job as string,
    );
    expect(placed.filter((id) => id === 'job-2')).toHaveLength(1);
    // Not preempted: tasks without checkpoints, of equal priority or just started; nor any task
    // for a head of low priority, or where the policy forbids it.
    expect(runPreemption({ checkpointIntervalS: 0 }, {}).stopped).toEqual([]);
    expect(runPreemption({ ...checkpointing, priority: 'urgent' }, {}).stopped).toEqual([]);
    expect(runPreemption(checkpointing, {}, 40_000).stopped).toEqual([]);
    expect(runPreemption(checkpointing, { priority: 'standard', estimateS: 1 }).stopped).toEqual(
      [],
    );
    expect(runPreemption(checkpointing, {}, 0, { preemptionMinPriority: 4 }).stopped).toEqual([]);
  });

  it('never selects a job that fails everywhere as the queue head', () => {
    const state = core();
    const spec = job('job-1', { cpus: 4 });
    const failingJob = createJob(spec, 0 as Instant);
    for (const id of ['n-1', 'n-2', 'n-3']) failingJob.failedMachines.add(id as MachineId);
    state.jobs.set(spec.id, failingJob);
    const nextJob = job('job-2', { estimateS: 500 });
    state.jobs.set(nextJob.id, createJob(nextJob, 9_000_000 as Instant));
    runSchedulingRound(state, 9_000_000 as Instant);
    expect(state.queueHead).toBe('job-2');
  });
});

describe('scoreDeadline', () => {
  const spec = job('job-1', { estimateS: 10, deadlineS: 100 });
  const scoreAt = (elapsedS: number) =>
    scoreDeadline(
      { spec, submittedAt: 0 as Instant },
      (elapsedS * 1000) as Instant,
      DEFAULT_POLICY,
    );
  it('rises from minimum to maximum as the estimated end nears the deadline, then is 0', () => {
    expect([scoreAt(0), scoreAt(69), scoreAt(70), scoreAt(80), scoreAt(90), scoreAt(91)]).toEqual([
      1, 1, 1, 5.5, 10, 0,
    ]);
  });
});
