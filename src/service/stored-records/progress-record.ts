/**
 * Requests for a progress snapshot, and the snapshots: how a follower that gets no answer from the
 * leader learns of jobs' progress through the key-value store. A snapshot names the requests that it
 * answers, so that each follower knows the snapshot's maximum age by its own clock.
 */
import * as v from 'valibot';
import type { JobProgress } from '../../core/lifecycle/job-view.js';
import type { JobId, NodeId } from '../../core/model/ids.js';
import { brandedString, nonNegativeInteger } from './validators.js';

const requestSchema = v.object({
  /** The process that asks, so that a restarted one does not take an old snapshot for an answer. */
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

const pageSchema = v.object({
  page: nonNegativeInteger(),
  pages: nonNegativeInteger(),
  /** Whether the pages together name all jobs that have begun. */
  whole: v.boolean(),
  /** The requests that the snapshot answers, by controller. */
  asked: v.record(v.string(), requestSchema),
  jobs: v.array(jobRowSchema),
});
type StoredPage = v.InferInput<typeof pageSchema>;
type StoredJobRow = v.InferInput<typeof jobRowSchema>;

/** The progress of all jobs that have begun, and the requests to answer. */
export interface ProgressSnapshot {
  readonly requests: ReadonlyMap<NodeId, ProgressRequest>;
  readonly jobs: readonly JobProgress[];
}

/** One page of a snapshot; all its pages have the same revision. */
export interface ProgressPage extends ProgressSnapshot {
  readonly page: number;
  readonly pages: number;
  readonly isWhole: boolean;
}

/** Limits of a snapshot: the size of each page's value in bytes, and the number of pages. */
export interface ProgressSnapshotLimits {
  readonly maxPageBytes: number;
  readonly maxPages: number;
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

/** Distributes the rows over pages of at most `rowBytes`; the rest of them is left out. */
const distributeRows = (
  rows: readonly StoredJobRow[],
  rowBytes: number,
  maxPages: number,
): { pages: StoredJobRow[][]; isWhole: boolean } => {
  let page: StoredJobRow[] = [];
  const pages = [page];
  let bytes = 0;
  for (const row of rows) {
    const size = JSON.stringify(row).length + 1;
    if (bytes + size > rowBytes) {
      if (pages.length >= maxPages) return { pages, isWhole: false };
      page = [];
      pages.push(page);
      bytes = 0;
    }
    page.push(row);
    bytes += size;
  }
  return { pages, isWhole: true };
};

/** Encodes a snapshot as the values of its pages. */
export const encodeProgressSnapshot = (
  { requests, jobs }: ProgressSnapshot,
  { maxPageBytes, maxPages }: ProgressSnapshotLimits,
): StoredPage[] => {
  const asked = Object.fromEntries(requests);
  const envelope = { page: maxPages, pages: maxPages, whole: false, asked, jobs: [] };
  const rowBytes = maxPageBytes - JSON.stringify(envelope).length;
  const { pages, isWhole } = distributeRows(jobs.map(encodeJobRow), rowBytes, maxPages);
  return pages.map((rows, page) => ({
    page,
    pages: pages.length,
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

/** Returns null if the page is invalid. */
export const decodeProgressPage = (value: unknown): ProgressPage | null => {
  const parsed = v.safeParse(pageSchema, value);
  if (!parsed.success) return null;
  const { page, pages, whole, asked, jobs } = parsed.output;
  return {
    page,
    pages,
    isWhole: whole,
    requests: new Map(Object.entries(asked) as [NodeId, ProgressRequest][]),
    jobs: jobs.map(decodeJobRow),
  };
};
