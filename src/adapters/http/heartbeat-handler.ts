/** Handles workers' heartbeats, from the request body to the answer. */
import type { HeartbeatService } from '../../ports/heartbeat-service.js';
import { type Log, LogDeduplicator } from '../logging/log.js';
import { HeartbeatParser } from '../workers/heartbeat-parser.js';
import {
  answerHeartbeat,
  HEARTBEAT_FAILED,
  type HeartbeatAnswer,
  MALFORMED_HEARTBEAT,
} from './answers.js';
import type { HeartbeatHandler } from './heartbeat-connections.js';
import { type JsonBody, parseJsonText } from './request-body.js';

/** Characters logged of the machine id in a malformed heartbeat. */
const MAX_LOGGED_ID_LENGTH = 120;

/** Returns the machine that a malformed heartbeat names, and why it is malformed. */
const describeMalformed = (body: JsonBody): { machineId: string; reason: string } => {
  if (body.kind === 'malformed') return { machineId: '', reason: body.reason };
  const { Berth: id } = (body.json ?? {}) as { Berth?: unknown };
  return { machineId: String(id).slice(0, MAX_LOGGED_ID_LENGTH), reason: 'invalid fields' };
};

/** Answers malformed heartbeats with 400, and logs them once per machine and reason. */
export const makeHeartbeatHandler = (service: HeartbeatService, log: Log): HeartbeatHandler => {
  const parser = new HeartbeatParser();
  const logDeduplicator = new LogDeduplicator();

  const refuse = (body: JsonBody): HeartbeatAnswer => {
    const { machineId, reason } = describeMalformed(body);
    if (logDeduplicator.isFirstOccurrence(`${machineId} ${reason}`))
      log.info({ machineId, reason }, 'malformed heartbeat, answering 400');
    return MALFORMED_HEARTBEAT;
  };

  const answer = async (text: string): Promise<HeartbeatAnswer> => {
    const body = parseJsonText(text);
    const heartbeat = body.kind === 'json' ? parser.parse(body.json) : null;
    if (!heartbeat) return refuse(body);
    return answerHeartbeat(await service.handleHeartbeat(heartbeat));
  };

  return (text) =>
    answer(text).catch((error: Error) => {
      log.error({ err: error }, 'heartbeat handling failed, answering 503');
      return HEARTBEAT_FAILED;
    });
};
