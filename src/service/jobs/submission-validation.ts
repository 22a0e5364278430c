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

/** Returns why the job could never run, as text for the user, else null. */
export const findInfeasibility = (
  spec: JobSpec,
  team: Team | undefined,
  machineTypes: readonly MachineType[],
): string | null => {
  if (!team) return `unknown team ${spec.team}`;
  if (spec.cpus > team.cpusMax || spec.gpus > team.gpusMax)
    return "a task exceeds the team's limit";
  // An array's tasks can run one after another; replicas run concurrently.
  const replicas = isService({ spec }) ? spec.tasks : 1;
  if (spec.cpus * replicas > team.cpusMax || spec.gpus * replicas > team.gpusMax)
    return "all replicas together exceed the team's limit";
  const zones = feasibleZones(spec, machineTypes);
  if (zones.size === 0) return 'no allowed machine type fits a task';
  const mustSpread = replicas > 1 && spec.spreadZones;
  if (mustSpread && (spec.singleZone || zones.size < 2))
    return 'its replicas must be spread over zones, and only one is allowed';
  return null;
};
