/** Decides how the leader answers workers' heartbeats. */
import type { Settings } from '../adapters/configuration/settings.js';
import type { Log } from '../adapters/logging/log.js';
import { steadyNow } from '../adapters/runtime/clock.js';
import type { Heartbeat } from '../core/model/heartbeat.js';
import type { MachineId } from '../core/model/ids.js';
import { type Instant, seconds } from '../core/model/time.js';
import type { WorkerCommand } from '../core/model/worker-command.js';
import type { HeartbeatDecision } from '../ports/heartbeat-service.js';
import type { CommandLoop } from './command-loop.js';
import type { LeaderElection } from './leader-election.js';
import type { TermContext } from './term-context.js';
import type { TermReplies } from './term-replies.js';

/** An isolated node redirects a worker at most once in this share of the worker's lease. */
const REDIRECT_LEASE_SHARE = 0.75;

/** Criteria for suspiciously low heartbeat coverage. */
const LOW_COVERAGE = {
  /** A heartbeat is recent within a window of this many heartbeat intervals. */
  recentIntervals: 2.5,
  /** Windows after the election without evaluation: workers must first find the leader. */
  settlingWindows: 2,
  /** Minimum of known workers: a single silent one may itself have failed. */
  minKnown: 2,
  /** Coverage is low if less than one in this many known workers is recent. */
  divisor: 3,
} as const;

const REDIRECT: HeartbeatDecision = { kind: 'redirect', leader: null };
const UNAVAILABLE: HeartbeatDecision = { kind: 'unavailable' };

/** How many of the known workers have sent a heartbeat recently. */
export interface HeartbeatCoverage {
  readonly recent: number;
  readonly known: number;
}

/** Components of one leader term and settings for answering heartbeats. */
export interface WorkerHeartbeatsOptions {
  readonly workers: Settings['workers'];
  readonly log: Log;
  readonly term: TermContext;
  readonly election: LeaderElection;
  readonly replies: TermReplies;
  readonly commandLoop: CommandLoop;
  /** True while neither the key-value store nor any peer answers this node. */
  readonly isIsolated: () => boolean;
}

/** Answers heartbeats during one term, and records redirects while isolated. */
export class WorkerHeartbeats {
  private readonly redirectedAt = new Map<MachineId, Instant>();

  constructor(private readonly options: WorkerHeartbeatsOptions) {}

  /** Decides the answer to a heartbeat; waits for the core for a bounded time. */
  async handle(heartbeat: Heartbeat): Promise<HeartbeatDecision> {
    const { term, replies, commandLoop } = this.options;
    if (heartbeat.fencingToken > term.fencingToken) return this.handleHigherToken(heartbeat);
    if (this.shouldRedirect(heartbeat.machine)) return REDIRECT;
    const commands = await replies.heartbeatReplies.request((ticket) =>
      commandLoop.submit({ kind: 'heartbeat', heartbeat, ticket }),
    );
    if (!commands || !term.isCurrent) return UNAVAILABLE;
    return this.decisionForCommands(commands);
  }

  /** Steps down, as the worker reports a later leader's fencing token. */
  private handleHigherToken({ machine, fencingToken }: Heartbeat): HeartbeatDecision {
    const { log, election } = this.options;
    log.info(
      { machineId: machine, fencingToken },
      'higher fencing token in heartbeat; stepping down',
    );
    election.stepDown();
    return REDIRECT;
  }

  private shouldRedirect(machine: MachineId): boolean {
    switch (this.options.term.authority()) {
      case 'lead':
        return false;
      case 'keep-alive':
        return this.options.isIsolated() && this.shouldRedirectWhileIsolated(machine);
      case 'none':
        return true;
    }
  }

  /**
   * Without the key-value store and all peers, this node is probably the one that is cut off, and
   * another leads or soon will: workers are redirected to find that leader. A worker that returns
   * well within its lease has found none, and is kept alive here.
   */
  private shouldRedirectWhileIsolated(machine: MachineId): boolean {
    const now = steadyNow();
    const last = this.redirectedAt.get(machine);
    const redirectIntervalMs = seconds(this.options.workers.leaseS) * REDIRECT_LEASE_SHARE;
    if (last !== undefined && now - last < redirectIntervalMs) return false;
    this.redirectedAt.set(machine, now);
    return true;
  }

  /**
   * The process may have been suspended since the commands were decided: the authority is checked
   * again. In `keep-alive` only kills are sent, since they start nothing.
   */
  private decisionForCommands(commands: readonly WorkerCommand[]): HeartbeatDecision {
    const { term } = this.options;
    const { fencingToken } = term;
    switch (term.authority()) {
      case 'lead':
        return { kind: 'commands', fencingToken, commands };
      case 'keep-alive': {
        const kills = commands.filter((command) => command.op === 'kill');
        return { kind: 'commands', fencingToken, commands: kills };
      }
      case 'none':
        return UNAVAILABLE;
    }
  }

  /** The heartbeat coverage if it is suspiciously low, else null. */
  lowCoverage(): HeartbeatCoverage | null {
    const { core } = this.options.commandLoop;
    const now = steadyNow();
    const windowMs =
      seconds(this.options.workers.heartbeatIntervalS) * LOW_COVERAGE.recentIntervals;
    if (now - core.config.acquiredAt < LOW_COVERAGE.settlingWindows * windowMs) return null;
    let recent = 0;
    let known = 0;
    for (const machine of core.machines.values()) {
      if (!machine.hasReported) continue;
      known += 1;
      if (now - machine.lastHeartbeatAt < windowMs) recent += 1;
    }
    const isLow = known >= LOW_COVERAGE.minKnown && recent * LOW_COVERAGE.divisor < known;
    return isLow ? { recent, known } : null;
  }
}
