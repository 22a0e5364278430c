/** The record of the cloud's machine types; its fields are those of `MachineType`. */
import * as v from 'valibot';
import type { MachineTypeName, ZoneName } from '../../core/model/ids.js';
import type { MachineType } from '../../core/model/machine.js';
import { brandedString, nonNegativeNumber } from './validators.js';

const machineTypesSchema = v.array(
  v.object({
    name: brandedString<MachineTypeName>(),
    cpus: nonNegativeNumber,
    gpus: nonNegativeNumber,
    memoryGb: nonNegativeNumber,
    fetchGbPerS: nonNegativeNumber,
    price: nonNegativeNumber,
    spotPrice: nonNegativeNumber,
    bootS: nonNegativeNumber,
    zones: v.array(brandedString<ZoneName>()),
  }),
);

/** Returns null if the record is invalid. */
export const decodeMachineTypes = (value: unknown): MachineType[] | null => {
  const parsed = v.safeParse(machineTypesSchema, value);
  return parsed.success ? parsed.output : null;
};
