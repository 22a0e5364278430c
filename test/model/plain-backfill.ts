/**
 * The design written down as plainly as can be, to compare the real round with: whole lists are scanned
 * again for every task, nothing is kept between tasks, and no order is relied on but the stated one.
 */
export interface PlainJob {
  id: string;
  submittedAt: number;
  /** 3 for critical down to 0 for best effort. */
  level: number;
  team: string;
  tasks: number;
  cpus: number;
  gpus: number;
  memoryGb: number;
  types: string[] | null;
  zone: string | null;
  oneZone: boolean;
  scatter: boolean;
  spotOk: boolean;
  estimateS: number;
  deadlineS: number | null;
}

export interface PlainMachine {
  id: string;
  type: string;
  zone: string;
  spot: boolean;
  cpus: number;
  gpus: number;
  memoryGb: number;
}

export interface PlainRun {
  job: string;
  machine: string;
  /** When it should end by its estimate. */
  end: number;
}

export interface PlainWorld {
  now: number;
  k: number;
  min: number;
  max: number;
  ageFactor: number;
  shortnessWeight: number;
  levelWeight: number;
  /** After this long a job's first task goes ahead of better ranked ones. */
  firstTaskS: number;
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
  if (job.deadlineS !== null) {
    const due = job.submittedAt + job.deadlineS * 1000;
    const over = world.k * job.estimateS * 1000;
    const end = world.now + job.estimateS * 1000;
    if (end > due) deadline = 0;
    else if (end < due - over || over <= 0) deadline = world.min;
    else deadline = world.min + ((world.max - world.min) / over) * (end - (due - over));
  }
  const kinds = world.kinds.map((k) => k.type);
  const gpusOf = (kind: string) => world.kinds.find((k) => k.type === kind)?.gpus ?? 0;
  const asks = (j: PlainJob, kind: string) =>
    j.gpus > 0 && gpusOf(kind) >= j.gpus && (j.types === null || j.types.includes(kind));
  const ratio = (kind: string) => {
    const wanted = waiting.filter((j) => asks(j, kind)).reduce((sum, j) => sum + j.gpus * left(j), 0);
    const total = world.machines.filter((m) => m.type === kind).reduce((sum, m) => sum + m.gpus, 0);
    return wanted / Math.max(total, 1);
  };
  const ample = kinds.filter((kind) => waiting.some((j) => asks(j, kind)) && ratio(kind) <= 1).length;
  let scarcity = 0;
  for (const kind of kinds) {
    if (asks(job, kind)) scarcity += ratio(kind) > 1 ? Math.max(ample, 1) * ratio(kind) : ratio(kind);
  }
  // An array's estimate, for shortness, is that of its waiting tasks one after the other.
  const work = (j: PlainJob) => j.estimateS * left(j);
  const shortest = Math.min(...waiting.map(work));
  const short = world.shortnessWeight * (work(job) > 0 ? shortest / work(job) : 1);
  return age + deadline + scarcity + short + world.levelWeight * job.level;
};

/** Starts of one round, as "job@machine", in order, and who heads the queue. */
export const plainRound = (world: PlainWorld): { starts: string[]; head: string | null } => {
  const job = (id: string) => world.jobs.find((j) => j.id === id)!;
  const runs = [...world.runs];
  const left = (j: PlainJob) => j.tasks - runs.filter((r) => r.job === j.id).length;
  const waiting = world.jobs.filter((j) => left(j) > 0);
  const scores = new Map(waiting.map((j) => [j.id, plainScore(world, j, waiting, left)]));
  waiting.sort(
    (a, b) =>
      scores.get(b.id)! - scores.get(a.id)! || a.submittedAt - b.submittedAt || (a.id < b.id ? -1 : 1),
  );
  const head = waiting.find((j) => j.id === world.head) ?? waiting[0];
  if (!head) return { starts: [], head: null };

  const sum = (list: PlainRun[], what: 'cpus' | 'gpus' | 'memoryGb') =>
    list.reduce((total, r) => total + job(r.job)[what], 0);
  const on = (m: PlainMachine) => runs.filter((r) => r.machine === m.id);
  const fits = (j: PlainJob, m: PlainMachine, taken: { cpus: number; gpus: number; memoryGb: number }) =>
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
    const byCpu = j.cpus > 0 ? Math.floor((limit.cpus - sum(mine, 'cpus') + near) / j.cpus) : Infinity;
    const byGpu = j.gpus > 0 ? Math.floor((limit.gpus - sum(mine, 'gpus') + near) / j.gpus) : Infinity;
    return Math.max(0, Math.min(byCpu, byGpu));
  };
  const zonesOf = (j: PlainJob) =>
    runs.filter((r) => r.job === j.id).map((r) => world.machines.find((m) => m.id === r.machine)!.zone);
  const suits = (j: PlainJob, m: PlainMachine) =>
    (j.types === null || j.types.includes(m.type)) &&
    (j.zone === null || j.zone === m.zone) &&
    (j.spotOk || !m.spot) &&
    (!j.oneZone || zonesOf(j).every((z) => z === m.zone)) &&
    (!j.scatter || zonesOf(j).filter((z) => z === m.zone).length < Math.ceil(j.tasks / 2));
  const strongest = [...world.machines].sort(
    (a, b) => b.gpus - a.gpus || b.cpus - a.cpus || b.memoryGb - a.memoryGb || (a.id < b.id ? -1 : 1),
  );

  const sameStrength = (a: PlainMachine, b: PlainMachine) =>
    a.gpus === b.gpus && a.cpus === b.cpus && a.memoryGb === b.memoryGb;

  const starts: string[] = [];
  let shadow = 0;
  // What the head will have taken, and who will have ended, at the shadow time.
  let reserved: PlainRun[] = [];
  let ended: PlainRun[] = [];
  const lasting: PlainRun[] = [];
  const fill = (j: PlainJob, most = Infinity) => {
    let begun = 0;
    let zone: string | null = null;
    if (j.oneZone && zonesOf(j).length === 0) {
      const slots = new Map<string, number>();
      for (const m of strongest) {
        if (!suits(j, m) || !fits(j, m, used(m))) continue;
        const n = j.cpus > 0 ? Math.floor((m.cpus - used(m).cpus + near) / j.cpus) : 1;
        slots.set(m.zone, (slots.get(m.zone) ?? 0) + n);
      }
      for (const [z, n] of slots) if (zone === null || n > slots.get(zone)!) zone = z;
    }
    while (left(j) > 0 && teamSlots(j) >= 1 && begun < most) {
      const end = world.now + j.estimateS * 1000;
      const able = strongest.filter((x) => {
        if (!suits(j, x) || (zone !== null && x.zone !== zone) || !fits(j, x, used(x))) return false;
        if (shadow === 0 || end <= shadow) return true;
        const before = world.runs.filter((r) => r.machine === x.id && !ended.includes(r));
        const then = [
          ...before,
          ...runs
            .slice(world.runs.length)
            .filter((r) => r.machine === x.id && (r.job === head.id || lasting.includes(r))),
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
      const equals = able.filter((x) => sameStrength(x, able[0]!));
      // Among equals one where a task of the job has been, and so its image, comes first.
      const m = equals.find((x) => runs.some((r) => r.job === j.id && r.machine === x.id)) ?? equals[0];
      if (!m) return;
      const run = { job: j.id, machine: m.id, end };
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
      if (j !== head && waitedLong && left(j) === j.tasks) fill(j, 1);
    }
  };
  firstTasks(world.firstTaskS * 1.5);
  fill(head);
  let missing = Math.min(left(head), teamSlots(head));
  if (missing > 0) {
    const ends = runs.map((r, at) => ({ r, at })).sort((a, b) => a.r.end - b.r.end || a.at - b.at);
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
        reserved = [...reserved, { job: head.id, machine: m.id, end: 0 }];
        missing -= 1;
        shadow = r.end;
      }
    }
  }
  firstTasks(world.firstTaskS);
  for (const j of waiting) if (j !== head) fill(j);
  return { starts, head: left(head) > 0 ? head.id : null };
};
