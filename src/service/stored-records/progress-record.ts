/**
 * Requests for a progress report, and the reports: how a follower that gets no answer from the
 * leader learns of jobs' progress through the key-value store. A report names the requests that it
 * answers, so that each follower knows the report's maximum age by its own clock.
 */
import * as v from 'valibot';
import type { JobProgress } from '../../core/lifecycle/job-view.js';
import type { JobId, NodeId } from '../../core/model/ids.js';
import { brandedString, nonNegativeInteger } from './validators.js';

const requestSchema = v.object({
  /** The process that asks, so that a restarted one does not take an old report for an answer. */
  life: v.string(),
  n: nonNegativeInteger(),
});

/** A controller's newest request. */
export type ProgressRequest = v.InferOutput<typeof requestSchema>;

/** [job, done tasks, running tasks], or [job] if the leader does not know whether a task runs. */
const jobRowSchema = v.union([
  v.tuple([brandedString<JobId>(), nonNegativeInteger(), nonNegativeInteger()]),
  v.tuple([brandedString<JobId>()]),
]);

const partSchema = v.object({
  part: nonNegativeInteger(),
  parts: nonNegativeInteger(),
  /** Whether the parts together name all jobs that have begun. */
  whole: v.boolean(),
  /** The requests that the report answers, by controller. */
  asked: v.record(v.string(), requestSchema),
  jobs: v.array(jobRowSchema),
});
type StoredPart = v.InferInput<typeof partSchema>;
type StoredJobRow = v.InferInput<typeof jobRowSchema>;

/** The progress of all jobs that have begun, and the requests to answer. */
export interface ProgressReport {
  readonly requests: ReadonlyMap<NodeId, ProgressRequest>;
  readonly jobs: readonly JobProgress[];
}

/** One part of a report; all its parts have the same revision. */
export interface ProgressPart extends ProgressReport {
  readonly part: number;
  readonly parts: number;
  readonly isWhole: boolean;
}

/** Limits of a report: the size of each part's value in bytes, and the number of parts. */
export interface ProgressReportLimits {
  readonly maxPartBytes: number;
  readonly maxParts: number;
}

/** Whether both are the same request of the same process. */
export const isSameRequest = (one: ProgressRequest, other: ProgressRequest): boolean =>
  one.life === other.life && one.n === other.n;

/** Encodes a request. */
export const encodeProgressRequest = ({ life, n }: ProgressRequest): ProgressRequest => ({
  life,
  n,
});

/** Returns null if the request is invalid. */
export const decodeProgressRequest = (value: unknown): ProgressRequest | null => {
  const parsed = v.safeParse(requestSchema, value);
  return parsed.success ? parsed.output : null;
};

const encodeJobRow = ({ id, status, done, running }: JobProgress): StoredJobRow =>
  status === null ? [id] : [id, done, running];

/** Distributes the rows over parts of at most `rowBytes`; the rest of them is left out. */
const distributeRows = (
  rows: readonly StoredJobRow[],
  rowBytes: number,
  maxParts: number,
): { parts: StoredJobRow[][]; isWhole: boolean } => {
  let part: StoredJobRow[] = [];
  const parts = [part];
  let bytes = 0;
  for (const row of rows) {
    const size = JSON.stringify(row).length + 1;
    if (bytes + size > rowBytes) {
      if (parts.length >= maxParts) return { parts, isWhole: false };
      part = [];
      parts.push(part);
      bytes = 0;
    }
    part.push(row);
    bytes += size;
  }
  return { parts, isWhole: true };
};

/** Encodes a report as the values of its parts. */
export const encodeProgressReport = (
  { requests, jobs }: ProgressReport,
  { maxPartBytes, maxParts }: ProgressReportLimits,
): StoredPart[] => {
  const asked = Object.fromEntries(requests);
  const envelope = { part: maxParts, parts: maxParts, whole: false, asked, jobs: [] };
  const rowBytes = maxPartBytes - JSON.stringify(envelope).length;
  const { parts, isWhole } = distributeRows(jobs.map(encodeJobRow), rowBytes, maxParts);
  return parts.map((rows, part) => ({
    part,
    parts: parts.length,
    whole: isWhole,
    asked,
    jobs: rows,
  }));
};

const decodeJobRow = (row: v.InferOutput<typeof jobRowSchema>): JobProgress => {
  const [id, done = 0, running = 0] = row;
  if (row.length === 1) return { id, status: null, done, running };
  return { id, status: running > 0 ? 'running' : 'queued', done, running };
};

/** Returns null if the part is invalid. */
export const decodeProgressPart = (value: unknown): ProgressPart | null => {
  const parsed = v.safeParse(partSchema, value);
  if (!parsed.success) return null;
  const { part, parts, whole, asked, jobs } = parsed.output;
  return {
    part,
    parts,
    isWhole: whole,
    requests: new Map(Object.entries(asked) as [NodeId, ProgressRequest][]),
    jobs: jobs.map(decodeJobRow),
  };
};
