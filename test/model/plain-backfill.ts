/**
 * The design written down as plainly as can be, to compare the real round with: whole lists are scanned
 * again for every task, nothing is kept between tasks, and no order is relied on but the stated one.
 */
export interface PlainJob {
  id: string;
  shape: 'array' | 'service';
  submittedAt: number;
  /** Since when it has had nothing on a machine. */
  idleSince: number;
  /** 3 for critical down to 0 for best effort. */
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

export interface PlainMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Kept for services up to now. */
  kept: boolean;
  /** Milliseconds until its next check-in, by which starts go out. */
  checkInMs: number;
  fetchGbPerS: number;
}

export interface PlainRun {
  job: string;
  machine: string;
  /** How long it has run, in milliseconds. */
  ranMs: number;
  /** When it should end by its estimate; replicas have no end. */
  end: number;
}

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
  kinds: { type: string; gpus: number }[];
  machines: PlainMachine[];
  runs: PlainRun[];
  limits: Record<string, { cpus: number; gpus: number }>;
  head: string | null;
}

const near = 1e-6;

export const plainScore = (
  world: PlainWorld,
  job: PlainJob,
  waiting: PlainJob[],
  left: (j: PlainJob) => number,
): number => {
  const age = ((world.now - job.submittedAt) / 3_600_000) * world.ageFactor;
  let deadline = 0;
  if (job.deadlineS !== null && job.shape === 'array') {
    const due = job.submittedAt + job.deadlineS * 1000;
    const over = world.deadlineEstimateFactor * job.estimateS * 1000;
    const end = world.now + job.estimateS * 1000;
    if (end > due) deadline = 0;
    else if (end < due - over || over <= 0) deadline = world.deadlineScoreMin;
    else
      deadline =
        world.deadlineScoreMin +
        ((world.deadlineScoreMax - world.deadlineScoreMin) / over) * (end - (due - over));
  }
  const kinds = world.kinds.map((k) => k.type);
  const gpusOf = (kind: string) => world.kinds.find((k) => k.type === kind)?.gpus ?? 0;
  const asks = (j: PlainJob, kind: string) =>
    j.gpus > 0 &&
    gpusOf(kind) >= j.gpus &&
    (j.machineTypes === null || j.machineTypes.includes(kind));
  const ratio = (kind: string) => {
    const wanted = waiting
      .filter((j) => asks(j, kind))
      .reduce((sum, j) => sum + j.gpus * left(j), 0);
    const total = world.machines.filter((m) => m.type === kind).reduce((sum, m) => sum + m.gpus, 0);
    return wanted / Math.max(total, 1);
  };
  const ample = kinds.filter(
    (kind) => waiting.some((j) => asks(j, kind)) && ratio(kind) <= 1,
  ).length;
  let scarcity = 0;
  for (const kind of kinds) {
    if (asks(job, kind))
      scarcity += ratio(kind) > 1 ? Math.max(ample, 1) * ratio(kind) : ratio(kind);
  }
  // An array's estimate, for shortness, is that of its waiting tasks one after the other.
  const work = (j: PlainJob) => j.estimateS * left(j);
  const shortest = Math.min(...waiting.filter((j) => j.shape === 'array').map(work));
  // A service never ends: it is never the shortest.
  const share = job.shape === 'service' ? 0 : work(job) > 0 ? shortest / work(job) : 1;
  const short = world.shortnessWeight * share;
  return age + deadline + scarcity + short + world.priorityWeight * job.level;
};

/** Starts of one round, as "job@machine", in order, and who heads the queue. */
export const plainRound = (
  world: PlainWorld,
): { starts: string[]; head: string | null; stopped: string[] } => {
  const job = (id: string) => world.jobs.find((j) => j.id === id)!;
  const runs = world.runs.map((r) => ({ ...r }));
  const left = (j: PlainJob) => j.tasks - runs.filter((r) => r.job === j.id).length;
  const waiting = world.jobs.filter((j) => left(j) > 0);
  const scores = new Map(waiting.map((j) => [j.id, plainScore(world, j, waiting, left)]));
  waiting.sort(
    (a, b) =>
      scores.get(b.id)! - scores.get(a.id)! ||
      a.submittedAt - b.submittedAt ||
      (a.id < b.id ? -1 : 1),
  );
  const arrays = waiting.filter((j) => j.shape === 'array');
  const head = arrays.find((j) => j.id === world.head) ?? arrays[0];
  const stopped: string[] = [];
  if (waiting.length === 0) return { starts: [], head: null, stopped };
  const goesFirst = (j: PlainJob) => j.shape === 'service' && j.level === 3;

  const sum = (list: PlainRun[], what: 'cpus' | 'gpus' | 'memoryGb') =>
    list.reduce((total, r) => total + job(r.job)[what], 0);
  const on = (m: PlainMachine) => runs.filter((r) => r.machine === m.id);
  const fits = (
    j: PlainJob,
    m: PlainMachine,
    taken: { cpus: number; gpus: number; memoryGb: number },
  ) =>
    m.cpus - taken.cpus + near >= j.cpus &&
    m.gpus - taken.gpus + near >= j.gpus &&
    m.memoryGb - taken.memoryGb + near >= j.memoryGb;
  const used = (m: PlainMachine) => ({
    cpus: sum(on(m), 'cpus'),
    gpus: sum(on(m), 'gpus'),
    memoryGb: sum(on(m), 'memoryGb'),
  });
  const teamSlots = (j: PlainJob) => {
    const mine = runs.filter((r) => job(r.job).team === j.team);
    const limit = world.limits[j.team]!;
    const byCpu =
      j.cpus > 0 ? Math.floor((limit.cpus - sum(mine, 'cpus') + near) / j.cpus) : Infinity;
    const byGpu =
      j.gpus > 0 ? Math.floor((limit.gpus - sum(mine, 'gpus') + near) / j.gpus) : Infinity;
    return Math.max(0, Math.min(byCpu, byGpu));
  };
  const zonesOf = (j: PlainJob) =>
    runs
      .filter((r) => r.job === j.id)
      .map((r) => world.machines.find((m) => m.id === r.machine)!.zone);

  // Ordinary machines are kept for the services that may use no others: what these take and half as much again, and twice the
  // largest; of each zone in turn, those with replicas first, then those kept before.
  const dear = world.jobs.filter((j) => j.shape === 'service' && !j.allowsSpot);
  const sizes = dear.map((j) => j.tasks * j.cpus);
  let kept = new Set<PlainMachine>(world.machines.filter((m) => m.kept));
  const ordinary = world.machines.filter((m) => !m.spot);
  const has = (m: PlainMachine) => on(m).some((r) => job(r.job).shape === 'service');
  const keep = () => {
    const before = kept;
    kept = new Set();
    // Nothing is kept from an array that has long waited for its first task.
    const inVain = arrays.some(
      (j) => left(j) === j.tasks && world.now - j.submittedAt >= world.firstTaskAfterS * 1000,
    );
    if (inVain) return;
    let toKeep = 1.5 * sizes.reduce((a, b) => a + b, 0) + 2 * Math.max(0, ...sizes);
    const rank = (m: PlainMachine) => (has(m) ? 2 : before.has(m) ? 1 : 0);
    for (let turn = 0; turn < ordinary.length; turn += 1) {
      for (const z of [...new Set(ordinary.map((m) => m.zone))]) {
        const list = ordinary.filter((m) => m.zone === z);
        list.sort((a, b) => rank(b) - rank(a) || (a.id < b.id ? -1 : 1));
        const m = list[turn];
        if (!m || toKeep <= 0) continue;
        kept.add(m);
        toKeep -= m.cpus;
      }
    }
  };
  keep();

  let starving: PlainJob | null = null;
  const suits = (j: PlainJob, m: PlainMachine) =>
    (j.shape === 'service' || !j.allowsSpot || !kept.has(m) || j === starving) &&
    (j.machineTypes === null || j.machineTypes.includes(m.type)) &&
    (j.zone === null || j.zone === m.zone) &&
    (j.allowsSpot || !m.spot) &&
    (!j.singleZone || zonesOf(j).every((z) => z === m.zone)) &&
    (!j.spreadZones || zonesOf(j).filter((z) => z === m.zone).length < Math.ceil(j.tasks / 2));
  const strongest = [...world.machines].sort(
    (a, b) =>
      b.gpus - a.gpus || b.cpus - a.cpus || b.memoryGb - a.memoryGb || (a.id < b.id ? -1 : 1),
  );

  const sameStrength = (a: PlainMachine, b: PlainMachine) =>
    a.gpus === b.gpus && a.cpus === b.cpus && a.memoryGb === b.memoryGb;

  const starts: string[] = [];
  const killed: PlainRun[] = [];
  let shadow = 0;
  // What the head will have taken, and who will have ended, at the shadow time.
  let reserved: PlainRun[] = [];
  let ended: PlainRun[] = [];
  const lasting: PlainRun[] = [];
  /** Its own image, and those that the machine fetches for tasks that this round has just started there. */
  const gbToFetch = (j: PlainJob, m: PlainMachine) => {
    const fresh = runs.slice(world.runs.length).filter((r) => r.machine === m.id);
    const old = world.runs.filter((r) => r.machine === m.id).map((r) => r.job);
    if (old.includes(j.id)) return 0;
    const names = new Set([...fresh.map((r) => r.job), j.id].filter((id) => !old.includes(id)));
    return [...names].reduce((total, id) => total + job(id).imageGb, 0);
  };
  const fill = (j: PlainJob, most = Infinity) => {
    let begun = 0;
    const count = (m: PlainMachine) =>
      runs.filter((r) => r.job === j.id && r.machine === m.id).length;
    // A replica would run there in so many seconds.
    const startsIn = new Map(
      world.machines.map((m) => [m.id, m.checkInMs + (gbToFetch(j, m) / m.fetchGbPerS) * 1000]),
    );
    const third = Math.ceil(j.tasks / 3);
    const full = (m: PlainMachine) => (count(m) >= third ? 1 : 0);
    const tier = (m: PlainMachine) => Math.floor(startsIn.get(m.id)! / 3000);
    const second = (m: PlainMachine) => Math.floor(startsIn.get(m.id)! / 1000);
    const before = new Map(world.machines.map((m) => [m.id, count(m)]));
    let zone: string | null = null;
    if (j.singleZone && zonesOf(j).length === 0) {
      const slots = new Map<string, number>();
      for (const m of strongest) {
        if (!suits(j, m) || !fits(j, m, used(m))) continue;
        const n = j.cpus > 0 ? Math.floor((m.cpus - used(m).cpus + near) / j.cpus) : 1;
        slots.set(m.zone, (slots.get(m.zone) ?? 0) + n);
      }
      for (const [z, n] of slots) if (zone === null || n > slots.get(zone)!) zone = z;
    }
    while (left(j) > 0 && teamSlots(j) >= 1 && begun < most) {
      const end = j.shape === 'service' ? Infinity : world.now + j.estimateS * 1000;
      const able = strongest.filter((x) => {
        if (!suits(j, x) || (zone !== null && x.zone !== zone) || !fits(j, x, used(x)))
          return false;
        if (shadow === 0 || end <= shadow) return true;
        const before = runs
          .slice(0, world.runs.length)
          .filter((r) => r.machine === x.id && !ended.includes(r));
        const then = [
          ...before,
          ...runs
            .slice(world.runs.length)
            .filter((r) => r.machine === x.id && (r.job === head?.id || lasting.includes(r))),
          ...reserved.filter((r) => r.machine === x.id),
        ];
        // The head's own fresh starts may have ended by then, too.
        const there = then.filter((r) => !ended.includes(r));
        return fits(j, x, {
          cpus: sum(there, 'cpus'),
          gpus: sum(there, 'gpus'),
          memoryGb: sum(there, 'memoryGb'),
        });
      });
      // Replicas go where they run soonest, there to one machine after the other, and no third of them to one.
      if (j.shape === 'service') {
        able.sort(
          (a, b) =>
            full(a) - full(b) ||
            tier(a) - tier(b) ||
            count(a) - count(b) ||
            second(a) - second(b) ||
            before.get(a.id)! - before.get(b.id)!,
        );
      }
      const equals = able.filter((x) => sameStrength(x, able[0]!));
      // Among equals one where a task of the job has been, and so its image, comes first.
      const cached = equals.find((x) => runs.some((r) => r.job === j.id && r.machine === x.id));
      const m = j.shape === 'service' ? able[0] : (cached ?? equals[0]);
      if (!m) return;
      const run = { job: j.id, machine: m.id, ranMs: 0, end };
      runs.push(run);
      begun += 1;
      starts.push(`${j.id}@${m.id}`);
      // What started before the head counts at the shadow time, unless it has ended by then.
      if (shadow > 0 ? end > shadow : j !== head) lasting.push(run);
    }
  };

  const firstTasks = (waitedS: number) => {
    for (const j of waiting) {
      const waitedLong = world.now - j.submittedAt >= waitedS * 1000;
      if (j !== head && !goesFirst(j) && waitedLong && left(j) === j.tasks) fill(j, 1);
    }
  };
  // Critical services go ahead of the queue; what they miss, they make: of lower work, what loses least.
  for (const j of waiting.filter(goesFirst)) {
    fill(j);
    let want = Math.min(left(j), teamSlots(j));
    const options: { victims: PlainRun[]; loss: number }[] = [];
    for (const m of strongest) {
      if (!suits(j, m)) continue;
      const without = (gone: PlainRun[]) => {
        const rest = on(m).filter((r) => !gone.includes(r));
        return {
          cpus: sum(rest, 'cpus'),
          gpus: sum(rest, 'gpus'),
          memoryGb: sum(rest, 'memoryGb'),
        };
      };
      const going = on(m).filter((r) => killed.includes(r));
      if (going.length > 0 && fits(j, m, without(going))) {
        want -= 1;
        continue;
      }
      const lower = on(m)
        .filter((r) => !killed.includes(r) && job(r.job).shape === 'array' && job(r.job).level < 3)
        .sort((a, b) => a.ranMs - b.ranMs);
      const least = lower.findIndex((_, i) => fits(j, m, without(lower.slice(0, i + 1))));
      if (least < 0) continue;
      const victims = lower.slice(0, least + 1);
      options.push({ victims, loss: victims.reduce((total, r) => total + r.ranMs, 0) });
    }
    options.sort((a, b) => a.loss - b.loss);
    for (const { victims } of options.slice(0, Math.max(0, want))) {
      for (const r of victims) {
        killed.push(r);
        r.end = world.now + 500;
        stopped.push(`${r.job}@${r.machine}`);
      }
    }
  }
  keep();
  firstTasks(world.firstTaskAfterS * 1.5);
  if (head) fill(head);
  let missing = head ? Math.min(left(head), teamSlots(head)) : 0;
  if (head && missing > 0) {
    const ends = runs
      .map((r, at) => ({ r, at }))
      .filter(({ r }) => r.end < Infinity)
      .sort((a, b) => a.r.end - b.r.end || a.at - b.at);
    for (const { r } of ends) {
      if (missing <= 0) break;
      ended = [...ended, r];
      const m = world.machines.find((x) => x.id === r.machine)!;
      if (!suits(head, m)) continue;
      for (;;) {
        const there = [
          ...runs.filter((x) => x.machine === m.id && !ended.includes(x)),
          ...reserved.filter((x) => x.machine === m.id),
        ];
        const taken = {
          cpus: sum(there, 'cpus'),
          gpus: sum(there, 'gpus'),
          memoryGb: sum(there, 'memoryGb'),
        };
        if (missing <= 0 || !fits(head, m, taken)) break;
        reserved = [...reserved, { job: head.id, machine: m.id, ranMs: 0, end: 0 }];
        missing -= 1;
        shadow = r.end;
      }
    }
  }
  firstTasks(world.firstTaskAfterS);
  for (const j of waiting) if (j !== head && !goesFirst(j)) fill(j);
  // After 75 s without anything on a machine nothing is reserved or kept from a job's next task.
  shadow = 0;
  for (const j of waiting) {
    if (left(j) < j.tasks || world.now - j.idleSince < 75_000) continue;
    starving = j;
    fill(j, 1);
    starving = null;
  }
  return { starts, head: head && left(head) > 0 ? head.id : null, stopped };
};
