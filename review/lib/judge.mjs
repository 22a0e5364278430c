// The rules of PROTOCOL, as users, workers and the platform can see them.
const now = () => performance.now() / 1000;
const OVER = { done: 1, withdrawn: 1 };

export class Judge {
  broken = [];
  at = new Map(); // piece -> Set of workers that it is on
  onMachines = new Set();
  told = new Map(); // ref -> {accepted, end, endAt, toldAt}
  starts = 0;
  constructor(world) {
    this.world = world;
  }
  breaks(rule, what) {
    this.broken.push({ rule, ...what });
    this.world.record({ ev: 'BROKEN', rule, ...what });
  }
  on(t, w) {
    const { world } = this;
    this.starts += 1;
    const job = world.jobs.get(t.job);
    world.record({ ev: 'start', piece: t.piece, try: t.try, machine: w.ref, yard: w.yard });
    // A machine that hangs beyond its lease executes nothing any more: its worker, when it is back,
    // kills all tasks before anything else.
    const isOver = (x) => x.w.isHung() && now() - x.w.leaseFrom > world.params.workers.lease_s;
    const others = [...this.onMachines].filter((x) => x.t.piece === t.piece && !isOver(x));
    if (others.length) this.breaks('ran_twice', { piece: t.piece, machine: w.ref, other: others.map((x) => x.w.ref) });
    if (job.Hulls && !job.Hulls.includes(w.hull)) this.breaks('wrong_place', { piece: t.piece, hull: w.hull });
    if (job.Yard && job.Yard !== w.yard) this.breaks('wrong_place', { piece: t.piece, yard: w.yard });
    if (w.loaners && !job.Loaners) this.breaks('wrong_place', { piece: t.piece, loaners: true });
    const same = [...this.onMachines].filter((x) => x.t.job === t.job && x.t.piece !== t.piece);
    if (job.OneZone && same.some((x) => x.w.yard !== w.yard)) this.breaks('wrong_place', { piece: t.piece, oneZone: w.yard });
    if (job.Scatter && same.filter((x) => x.w.yard === w.yard).length + 1 > Math.ceil(job.Pieces / 2))
      this.breaks('wrong_place', { piece: t.piece, scatter: w.yard });
    this.onMachines.add({ t, w, since: now() });
    const used = [...this.onMachines].filter((x) => world.jobs.get(x.t.job).Crew === job.Crew).reduce((a, x) => a + world.jobs.get(x.t.job).Cpus, 0);
    const team = world.params.teams.find((x) => x.name === job.Crew);
    if (used > team.cpus_max + 1e-6) this.breaks('quota', { crew: job.Crew, used, piece: t.piece });
    const end = this.told.get(t.job);
    if (end?.withdrawnAt !== undefined) world.record({ ev: 'START AFTER CANCEL', piece: t.piece, after: now() - end.withdrawnAt, orderedAfter: (t.orderedAt ?? 0) - end.withdrawnAt });
    if (end?.withdrawnAt !== undefined && now() - end.withdrawnAt > world.params.workers.cancel_s)
      this.breaks('ran_cancelled', { piece: t.piece, after: now() - end.withdrawnAt });
  }
  off(t, w, why) {
    for (const x of this.onMachines) if (x.t === t) this.onMachines.delete(x);
    this.world.record({ ev: 'end', piece: t.piece, try: t.try, machine: w.ref, why });
  }
  /** Called now and then: tasks that outlived their cancellation. */
  sweep() {
    for (const x of this.onMachines) {
      const end = this.told.get(x.t.job);
      if (end?.withdrawnAt === undefined || x.reported) continue;
      const after = now() - end.withdrawnAt;
      if (after > this.world.params.workers.cancel_s) {
        x.reported = true;
        this.breaks('ran_cancelled', { piece: x.t.piece, machine: x.w.ref, after });
      }
    }
  }
  /** What was known of a job before a request goes out. */
  floor(ref) {
    return { ...(this.told.get(ref) ?? {}) };
  }
  /** An answer about a job, to a request sent when `floor` was known. */
  answer(ref, floor, what, node, a) {
    const k = this.told.get(ref) ?? {};
    const status = a.body?.Status;
    this.world.record({ ev: 'answer', ref, what, node, status: a.status, said: status });
    if (a.status === 404 && floor.accepted) this.breaks('forgotten', { ref, node, what });
    if ((a.status === 400 || a.status === 422) && floor.accepted) this.breaks('forgotten', { ref, node, what, status: a.status });
    if (a.status !== 200 && a.status !== 201) return;
    if (!this.world.submitted.has(ref)) this.breaks('invented', { ref, node });
    if (a.body?.Ref !== ref) this.breaks('foreign', { ref, got: a.body?.Ref });
    k.accepted = true;
    if (floor.end && status !== floor.end) this.breaks('went_back', { ref, node, was: floor.end, is: status });
    if (status === 'withdrawn' && !this.world.cancelAsked.has(ref)) this.breaks('went_back', { ref, node, is: 'withdrawn, never asked' });
    if (status === 'done') {
      const job = this.world.jobs.get(ref);
      for (let i = 0; i < job.Pieces; i += 1)
        if (!this.world.done.has(`${ref}/${i}`)) {
          this.breaks('not_done', { ref, piece: i });
          break;
        }
    }
    if (OVER[status]) {
      k.end = status;
      if (status === 'withdrawn') k.withdrawnAt ??= now();
    }
    this.told.set(ref, k);
  }
}
