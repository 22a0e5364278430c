/** Workers' check-ins: from the body of a request to what the worker is answered. */
import type { HeartbeatService } from '../../service/ports/heartbeat-service.js';
import { type Log, Once } from '../logging/log.js';
import { encodeWorkerCommands } from '../wire.js';
import { HeartbeatParser } from '../workers/heartbeat-parser.js';
import type { HeartbeatHandler, HeartbeatReply } from './heartbeat-connections.js';

/** As much as is logged of a machine's name that cannot be read. */
const MAX_LOGGED_NAME = 120;

const MALFORMED: HeartbeatReply = { status: 400, body: { error: 'malformed' } };
const FAULT: HeartbeatReply = { status: 503, body: { error: 'fault' } };

const parseJson = (text: string): { readonly json: unknown } | { readonly fault: string } => {
  try {
    return { json: JSON.parse(text) };
  } catch {
    return { fault: 'body is not JSON' };
  }
};

/** The handler of check-ins; it answers 400 to what is no report, and logs that once for each machine. */
export const makeHeartbeatHandler = (service: HeartbeatService, log: Log): HeartbeatHandler => {
  const reader = new HeartbeatParser();
  const malformed = new Once();

  const refuse = (
    parsed: { readonly json: unknown } | { readonly fault: string },
  ): HeartbeatReply => {
    const fault = 'fault' in parsed ? parsed.fault : 'fields';
    const body = 'json' in parsed ? (parsed.json as { Berth?: unknown } | null) : null;
    const machine = 'json' in parsed ? String(body?.Berth).slice(0, MAX_LOGGED_NAME) : '';
    if (malformed.isFirst(`${machine} ${fault}`))
      log.info({ machine, fault }, 'check-in of an unknown form');
    return MALFORMED;
  };

  const answer = async (text: string): Promise<HeartbeatReply> => {
    const parsed = parseJson(text);
    const heartbeat = 'json' in parsed ? reader.parse(parsed.json) : null;
    if (!heartbeat) return refuse(parsed);
    const decision = await service.handleHeartbeat(heartbeat);
    switch (decision.kind) {
      case 'commands':
        return {
          status: 200,
          body: {
            Baton: decision.fencingToken,
            Orders: encodeWorkerCommands(decision.commands),
          },
        };
      case 'redirect':
        return { status: 421, body: decision.leader === null ? {} : { Foreman: decision.leader } };
      case 'unavailable':
        return { status: 503, body: { error: 'not now' } };
    }
  };

  return (text) =>
    answer(text).catch((error: Error) => {
      log.error({ err: error }, 'check-in failed');
      return FAULT;
    });
};
