/** Parses and validates the operators' policy file, an S-expression. */

import type { Policy } from '../../core/model/policy.js';
import { parseSExpression, readConfigurationFile, SettingsError } from './configuration-file.js';

/** The policy without a policy file, and the defaults of omitted fields. */
export const DEFAULT_POLICY: Policy = {
  ageFactor: 1,
  deadlineWeight: 1,
  scarcityWeight: 1,
  shortnessWeight: 20,
  priorityWeight: 5,
  deadlineEstimateFactor: 2,
  deadlineScoreMin: 1,
  deadlineScoreMax: 10,
  firstTaskAfterS: 120,
  preemptionMinPriority: 2,
  preemptionDelayS: 2,
  baselineCapacityShare: 1,
  capacityHeadroom: 1.2,
  scaleInAfterIdleS: 240,
  bootTimeoutFactor: 2.5,
  missedHeartbeatLimit: 4,
  leaderLeaseMs: 3000,
};

/** Maps each name in the policy file to its `Policy` field and the permitted range. */
const POLICY_FIELDS: Record<string, { key: keyof Policy; min: number; max: number }> = {
  'age-factor': { key: 'ageFactor', min: 0, max: 1e6 },
  'deadline-weight': { key: 'deadlineWeight', min: 0, max: 1e6 },
  'scarcity-weight': { key: 'scarcityWeight', min: 0, max: 1e6 },
  'priority-boost': { key: 'shortnessWeight', min: 0, max: 1e6 },
  'level-weight': { key: 'priorityWeight', min: 0, max: 1e6 },
  'deadline-k': { key: 'deadlineEstimateFactor', min: 1.000001, max: 1000 },
  'deadline-min': { key: 'deadlineScoreMin', min: 0, max: 1e6 },
  'deadline-max': { key: 'deadlineScoreMax', min: 0, max: 1e6 },
  'first-task-s': { key: 'firstTaskAfterS', min: 1, max: 1e6 },
  'make-room-level': { key: 'preemptionMinPriority', min: 0, max: 99 },
  'make-room-s': { key: 'preemptionDelayS', min: 0, max: 1e6 },
  'standing-share': { key: 'baselineCapacityShare', min: 0, max: 10 },
  headroom: { key: 'capacityHeadroom', min: 1, max: 10 },
  'idle-return-s': { key: 'scaleInAfterIdleS', min: 5, max: 86_400 },
  'boot-give-up': { key: 'bootTimeoutFactor', min: 1, max: 100 },
  'silent-reports': { key: 'missedHeartbeatLimit', min: 2, max: 1000 },
  'leader-lease-ms': { key: 'leaderLeaseMs', min: 500, max: 60_000 },
};

type MutablePolicy = { -readonly [K in keyof Policy]: Policy[K] };

/** Validates a `(NAME VALUE)` entry and sets its field. */
const applyField = (policy: MutablePolicy, entry: unknown): void => {
  const parts: readonly unknown[] = Array.isArray(entry) ? entry : [entry];
  const name = String(parts[0]);
  const field = Object.hasOwn(POLICY_FIELDS, name) ? POLICY_FIELDS[name] : undefined;
  if (!field) throw new SettingsError(`policy: unknown field ${name}`);
  const value = parts.length === 2 ? Number(String(parts[1])) : Number.NaN;
  if (!Number.isFinite(value) || value < field.min || value > field.max) {
    throw new SettingsError(
      `policy: field ${name} must be one number from ${field.min} to ${field.max}`,
    );
  }
  policy[field.key] = value;
};

/**
 * Parses `(policy (deadline-k 2) (age-factor 1) ...)`. Throws a `SettingsError` that names the
 * invalid field.
 */
export const parsePolicy = (text: string): Policy => {
  const form = parseSExpression(text);
  if (form instanceof Error) throw new SettingsError(`policy: ${form.message.split('\n')[0]}`);
  if (!Array.isArray(form) || form[0] !== 'policy') {
    throw new SettingsError('policy: expected (policy (NAME VALUE) ...)');
  }
  const policy: MutablePolicy = { ...DEFAULT_POLICY };
  for (const entry of form.slice(1) as unknown[]) applyField(policy, entry);
  if (policy.deadlineScoreMax < policy.deadlineScoreMin)
    throw new SettingsError('policy: field deadline-max is below deadline-min');
  return policy;
};

/** Reads and parses the policy file. Throws a `SettingsError` if it is unreadable or invalid. */
export const loadPolicy = (path: string): Policy =>
  parsePolicy(readConfigurationFile(path, 'policy'));
