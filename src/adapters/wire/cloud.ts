/** Wire format of the cloud's machine types and machines: field names and validation. */
import * as v from 'valibot';
import type { MachineId, MachineTypeName, ZoneName } from '../../core/model/ids.js';
import type { ListedMachine, MachineType, ProvisionRequest } from '../../core/model/machine.js';
import { amount, keyLabel, label } from './schemas.js';

/** The wire's name of each field of a machine type. */
const TYPE_FIELDS = {
  name: 'Label',
  cpus: 'Cpus',
  gpus: 'Accelerators',
  memoryGb: 'MemoryGb',
  fetchGbPerS: 'FetchGbPerS',
  price: 'Price',
  spotPrice: 'SpotPrice',
  bootS: 'StartupS',
  zones: 'Yards',
} as const satisfies Record<keyof MachineType, string>;

/** The wire's name of each field of a listed machine. */
const MACHINE_FIELDS = {
  id: 'Ref',
  endpoint: 'Endpoint',
  type: 'Hull',
  zone: 'Yard',
  spot: 'Loaners',
  status: 'Status',
  ageS: 'HeldS',
} as const satisfies Record<keyof ListedMachine, string>;

/** The wire's name of each field of a provision request. */
const PROVISION_FIELDS = {
  request: 'Hire',
  type: 'Hull',
  zone: 'Yard',
  spot: 'Loaners',
  count: 'HowMany',
} as const satisfies Record<keyof ProvisionRequest, string>;

/** The wire's name of each list, and of the flag that more pages follow. */
const LIST_FIELDS = { machineTypes: 'Hulls', machines: 'Berths', hasMore: 'More' } as const;

const DEFAULT_BOOT_S = 60;

const machineTypesSchema = v.object({
  [LIST_FIELDS.machineTypes]: v.array(
    v.object({
      [TYPE_FIELDS.name]: label,
      [TYPE_FIELDS.cpus]: amount,
      [TYPE_FIELDS.gpus]: v.nullish(amount, 0),
      [TYPE_FIELDS.memoryGb]: amount,
      [TYPE_FIELDS.fetchGbPerS]: v.nullish(amount, 0),
      [TYPE_FIELDS.price]: amount,
      [TYPE_FIELDS.spotPrice]: v.nullish(amount, null),
      [TYPE_FIELDS.bootS]: v.nullish(amount, DEFAULT_BOOT_S),
      [TYPE_FIELDS.zones]: v.array(label),
    }),
  ),
});

/** Parses the machine types; null if malformed. */
export const parseMachineTypes = (body: unknown): MachineType[] | null => {
  const result = v.safeParse(machineTypesSchema, body);
  if (!result.success) return null;
  return result.output[LIST_FIELDS.machineTypes].map((type) => ({
    name: type[TYPE_FIELDS.name] as MachineTypeName,
    cpus: type[TYPE_FIELDS.cpus],
    gpus: type[TYPE_FIELDS.gpus] ?? 0,
    memoryGb: type[TYPE_FIELDS.memoryGb],
    fetchGbPerS: type[TYPE_FIELDS.fetchGbPerS] ?? 0,
    price: type[TYPE_FIELDS.price],
    spotPrice: type[TYPE_FIELDS.spotPrice] ?? type[TYPE_FIELDS.price],
    bootS: type[TYPE_FIELDS.bootS] ?? DEFAULT_BOOT_S,
    zones: type[TYPE_FIELDS.zones] as ZoneName[],
  }));
};

const machineIdsSchema = v.object({ [LIST_FIELDS.machines]: v.array(keyLabel) });

/** Parses the ids of provisioned machines; null if malformed. */
export const parseMachineIds = (body: unknown): MachineId[] | null => {
  const result = v.safeParse(machineIdsSchema, body);
  return result.success ? (result.output[LIST_FIELDS.machines] as MachineId[]) : null;
};

const machinesSchema = v.object({
  [LIST_FIELDS.machines]: v.array(
    v.object({
      [MACHINE_FIELDS.id]: keyLabel,
      [MACHINE_FIELDS.endpoint]: v.nullish(v.string(), ''),
      [MACHINE_FIELDS.type]: label,
      [MACHINE_FIELDS.zone]: label,
      [MACHINE_FIELDS.spot]: v.nullish(v.boolean(), false),
      [MACHINE_FIELDS.status]: v.string(),
      [MACHINE_FIELDS.ageS]: v.nullish(amount, 0),
    }),
  ),
  [LIST_FIELDS.hasMore]: v.nullish(v.boolean(), false),
});

/** Statuses unknown to this version are taken as `booting`. */
const decodeStatus = (status: string): ListedMachine['status'] =>
  status === 'failed' || status === 'running' ? status : 'booting';

/** A page of the cloud's machine list. */
export interface MachinePage {
  readonly machines: ListedMachine[];
  readonly hasMore: boolean;
}

/** Parses a page of the list; null if malformed. */
export const parseMachinePage = (body: unknown): MachinePage | null => {
  const result = v.safeParse(machinesSchema, body);
  if (!result.success) return null;
  const machines = result.output[LIST_FIELDS.machines].map(
    (machine): ListedMachine => ({
      id: machine[MACHINE_FIELDS.id] as MachineId,
      endpoint: machine[MACHINE_FIELDS.endpoint] ?? '',
      type: machine[MACHINE_FIELDS.type] as MachineTypeName,
      zone: machine[MACHINE_FIELDS.zone] as ZoneName,
      spot: machine[MACHINE_FIELDS.spot] ?? false,
      status: decodeStatus(machine[MACHINE_FIELDS.status]),
      ageS: machine[MACHINE_FIELDS.ageS] ?? 0,
    }),
  );
  return { machines, hasMore: result.output[LIST_FIELDS.hasMore] ?? false };
};

/** Encodes a provision request. */
export const encodeProvisionRequest = ({ request, type, zone, spot, count }: ProvisionRequest) => ({
  [PROVISION_FIELDS.request]: request,
  [PROVISION_FIELDS.type]: type,
  [PROVISION_FIELDS.zone]: zone,
  [PROVISION_FIELDS.spot]: spot,
  [PROVISION_FIELDS.count]: count,
});

/** Encodes a request that deletes machines. */
export const encodeDeletion = (machines: readonly MachineId[]) => ({
  [LIST_FIELDS.machines]: machines,
});

/** Encodes the query for the page after machine `after`, or for the first page without it. */
export const encodePageQuery = (after: MachineId | undefined, limit: number): string => {
  const since = after === undefined ? '' : `Since=${encodeURIComponent(after)}&`;
  return `${since}Limit=${limit}`;
};
