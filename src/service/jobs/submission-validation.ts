/** Checks whether a job could ever run on this cluster. */
import type { ZoneName } from '../../core/model/ids.js';
import { isService, type JobSpec } from '../../core/model/job.js';
import type { MachineType } from '../../core/model/machine.js';
import type { Team } from '../../core/model/team.js';

/** Zones that offer an allowed machine type large enough for a task. */
const feasibleZones = (spec: JobSpec, machineTypes: readonly MachineType[]): Set<ZoneName> => {
  const zones = new Set<ZoneName>();
  for (const type of machineTypes) {
    const isAllowed = !spec.machineTypes || spec.machineTypes.includes(type.name);
    const fits = spec.cpus <= type.cpus && spec.gpus <= type.gpus && spec.memoryGb <= type.memoryGb;
    if (!isAllowed || !fits) continue;
    for (const zone of type.zones) if (spec.zone === null || spec.zone === zone) zones.add(zone);
  }
  return zones;
};

/** Number of tasks that run at a time: an array's tasks can run one after another. */
const concurrentTasks = (spec: JobSpec): number => (isService({ spec }) ? spec.tasks : 1);

/** Returns why the team could never run the job, as text for the user, else null. */
export const findTeamInfeasibility = (spec: JobSpec, team: Team | undefined): string | null => {
  if (!team) return `unknown team ${spec.team}`;
  if (spec.cpus > team.cpusMax || spec.gpus > team.gpusMax)
    return "a task exceeds the team's limit";
  const replicas = concurrentTasks(spec);
  if (spec.cpus * replicas > team.cpusMax || spec.gpus * replicas > team.gpusMax)
    return "all replicas together exceed the team's limit";
  return null;
};

/** Returns why no machine type could ever run the job, as text for the user, else null. */
export const findTypeInfeasibility = (
  spec: JobSpec,
  machineTypes: readonly MachineType[],
): string | null => {
  const zones = feasibleZones(spec, machineTypes);
  if (zones.size === 0) return 'no allowed machine type fits a task';
  const mustSpread = concurrentTasks(spec) > 1 && spec.spreadZones;
  if (mustSpread && (spec.singleZone || zones.size < 2))
    return 'its replicas must be spread over zones, and only one is allowed';
  return null;
};
