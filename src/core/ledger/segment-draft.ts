/** Construction of a ledger segment, which accepts attempts and progress until it is full. */

import type { CoreState } from '../core-state.js';
import { toPlainEntry } from '../model/attempt-entry.js';
import type { Job, LedgerSegment, Placement, ProgressChunk } from '../model/entities.js';
import type { JobId, MachineId, SegmentKey } from '../model/ids.js';
import type {
  LedgerEntry,
  LedgerRow,
  ProgressRow,
  StoreOperation,
} from '../model/ledger-record.js';
import { createSegment, detachChunk, detachPlacement } from './segments.js';

/** Upper bounds, in bytes, of the JSON around the variable parts of a stored segment. */
const FRAME_BYTES = 60;
const ENTRY_BYTES = 9;
const MACHINE_BYTES = 22;
const JOB_BYTES = 14;
const PROGRESS_BYTES = 20;

/** External names may need escapes in JSON; their URI-encoded form is never shorter. */
const escapedLength = (name: string): number => encodeURIComponent(name).length;

const base64Length = (bytes: number): number => Math.ceil(bytes / 3) * 4;

interface MachineRow extends LedgerRow {
  readonly entries: LedgerEntry[];
}

/** A ledger segment under construction; its estimated size is never below the stored size. */
export class SegmentDraft {
  /** The core's record of the segment. */
  readonly segment: LedgerSegment;
  /** Estimated size of the stored value, in bytes. */
  bytes = FRAME_BYTES;
  private readonly machineRows = new Map<MachineId, MachineRow>();
  private readonly progressRows: ProgressRow[] = [];
  /** Jobs in this segment; the stored value holds the attributes of each once. */
  private readonly jobs = new Set<JobId>();

  constructor(
    private readonly state: CoreState,
    key: SegmentKey,
    private readonly maxBytes: number,
  ) {
    this.segment = createSegment(key);
  }

  /** Records an attempt and detaches it from its former segment; false if it does not fit. */
  recordPlacement(placement: Placement): boolean {
    if (!this.reserve(this.placementBytes(placement))) return false;
    const { entry } = placement;
    this.jobs.add(entry.job);
    this.getOrCreateMachineRow(placement).entries.push(toPlainEntry(entry));
    detachPlacement(this.state, placement);
    placement.segment = this.segment;
    this.segment.placements.add(placement);
    this.segment.initialRowCount += 1;
    return true;
  }

  /** Records which tasks of a chunk are now done; false if they do not fit. */
  recordProgress(job: Job, number: number, chunk: ProgressChunk): boolean {
    const bytes = PROGRESS_BYTES + job.spec.id.length + base64Length(chunk.bits.length);
    if (!this.reserve(bytes)) return false;
    this.progressRows.push({
      job: job.spec.id,
      firstTask: number * job.tasksPerChunk,
      bits: chunk.bits.slice(),
    });
    detachChunk(this.state, chunk);
    chunk.segment = this.segment;
    this.segment.chunks.set(chunk, { job, number });
    this.segment.initialRowCount += 1;
    return true;
  }

  /** `recordedAtTimeOfDayMs`: time of day, in milliseconds since 1970. */
  toOperation(recordedAtTimeOfDayMs: number): StoreOperation {
    return {
      kind: 'write-segment',
      key: this.segment.key,
      machines: [...this.machineRows.values()],
      progress: this.progressRows,
      recordedAtTimeOfDayMs,
    };
  }

  private reserve(bytes: number): boolean {
    if (this.bytes + bytes > this.maxBytes) return false;
    this.bytes += bytes;
    return true;
  }

  private placementBytes({ entry, machine }: Placement): number {
    const { job, team, cpus, gpus, memoryGb } = entry;
    const machineBytes = this.machineRows.has(machine.id)
      ? 0
      : MACHINE_BYTES +
        escapedLength(machine.id) +
        escapedLength(machine.type) +
        escapedLength(machine.zone);
    const jobBytes = this.jobs.has(job)
      ? 0
      : JOB_BYTES + job.length + escapedLength(team) + `${cpus}${gpus}${memoryGb}`.length;
    return ENTRY_BYTES + `${entry.index}${entry.attempt}`.length + machineBytes + jobBytes;
  }

  private getOrCreateMachineRow({ machine }: Placement): MachineRow {
    let row = this.machineRows.get(machine.id);
    if (!row) {
      const { id, type, zone, spot } = machine;
      row = { machine: id, attributes: { type, zone, spot }, entries: [] };
      this.machineRows.set(id, row);
    }
    return row;
  }
}
