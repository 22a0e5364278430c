/** Evaluates the stand-in workers' own history of tasks, independently of the code under test. */
import type { TaskEvent } from '../../../../test/stand-ins/worker.js';

/** Maximum number of each team's tasks that were stopped and not yet running again, by team. */
export const maxStoppedByTeam = (
  history: readonly TaskEvent[],
  teamOf: (task: string) => string,
): Map<string, number> => {
  const open = new Map<string, Set<string>>();
  const most = new Map<string, number>();
  for (const { kind, task } of history) {
    const team = teamOf(task);
    const stopped = open.get(team) ?? new Set<string>();
    open.set(team, stopped);
    if (kind === 'stop') stopped.add(task);
    else stopped.delete(task);
    most.set(team, Math.max(most.get(team) ?? 0, stopped.size));
  }
  return most;
};

/** Tasks that ran on two machines at once, with both machines. */
export const findConcurrentRuns = (history: readonly TaskEvent[]): string[] => {
  const runs = new Map<string, string>();
  const twice: string[] = [];
  for (const { kind, task, machine } of history) {
    if (kind !== 'start') {
      if (runs.get(task) === machine) runs.delete(task);
      continue;
    }
    if (runs.has(task)) twice.push(`${task} on ${runs.get(task)} and ${machine}`);
    runs.set(task, machine);
  }
  return twice;
};

/** Tasks that were running on a machine when it was returned. */
export const tasksLostWithMachines = (history: readonly TaskEvent[]): string[] =>
  history.filter(({ kind }) => kind === 'lost').map(({ task }) => task);
