/** The machine types in the key-value store, for starts while the cloud does not answer. */
import type { Revision } from '../core/model/ids.js';
import type { MachineType } from '../core/model/machine.js';
import type { GetResult } from '../ports/key-value-store.js';
import type { Dependencies } from './dependencies.js';
import { decodeMachineTypes, MACHINE_TYPES_KEY } from './stored-records.js';

type StoreDependencies = Pick<Dependencies, 'settings' | 'store'>;

/** Prices move all the time, and no decision rests on stored ones for long. */
const withoutPrices = (types: readonly MachineType[]): string =>
  JSON.stringify(types.map((type) => ({ ...type, price: 0, spotPrice: 0 })));

/** A list above the store's value limit is not stored: the cloud provides it too. */
const fitsStoredValue = ({ settings }: StoreDependencies, types: readonly MachineType[]): boolean =>
  Buffer.byteLength(JSON.stringify(types)) <= settings.keyValueStoreLimits.maxValueBytes;

/** Reads the stored record. */
export const readStoredMachineTypes = ({ store }: StoreDependencies): Promise<GetResult> =>
  store.get(MACHINE_TYPES_KEY);

/** Stores the types that the cloud offers, unless `stored`, just read, already holds them. */
export const updateStoredMachineTypes = async (
  dependencies: StoreDependencies,
  types: readonly MachineType[],
  stored: GetResult,
): Promise<void> => {
  if (!fitsStoredValue(dependencies, types)) return;
  if (stored.kind !== 'found' && stored.kind !== 'absent') return;
  const known = stored.kind === 'found' ? decodeMachineTypes(stored.item.value) : null;
  if (known && withoutPrices(known) === withoutPrices(types)) return;
  const revision = stored.kind === 'found' ? stored.item.revision : (0 as Revision);
  await dependencies.store.compareAndSwap(
    [{ key: MACHINE_TYPES_KEY, revision }],
    [{ put: MACHINE_TYPES_KEY, value: types }],
  );
};
