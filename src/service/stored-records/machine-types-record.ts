/** The record of the cloud's machine types; its fields are those of the model. */
import * as v from 'valibot';
import type { MachineTypeName, ZoneName } from '../../core/model/ids.js';
import type { MachineType } from '../../core/model/machine.js';
import { amount, name } from './validators.js';

const machineTypesSchema = v.array(
  v.object({
    name: name<MachineTypeName>(),
    cpus: amount,
    gpus: amount,
    memoryGb: amount,
    fetchGbPerS: amount,
    price: amount,
    spotPrice: amount,
    bootS: amount,
    zones: v.array(name<ZoneName>()),
  }),
);

/** null for a record that cannot be read. */
export const decodeMachineTypes = (value: unknown): MachineType[] | null => {
  const parsed = v.safeParse(machineTypesSchema, value);
  return parsed.success ? parsed.output : null;
};
