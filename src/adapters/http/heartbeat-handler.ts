/** Workers' check-ins: from the body of a request to what the worker is answered. */
import type { Controller } from '../../service/controller.js';
import { type Log, Once } from '../logging/log.js';
import { ordersOut } from '../wire.js';
import { ReportReader } from '../workers/heartbeat-parser.js';
import type { CheckInHandler, CheckInReply } from './heartbeat-connections.js';

/** As much as is logged of a machine's name that cannot be read. */
const MAX_LOGGED_NAME = 120;

const MALFORMED: CheckInReply = { status: 400, body: { error: 'malformed' } };
const FAULT: CheckInReply = { status: 503, body: { error: 'fault' } };

const parseJson = (text: string): { readonly json: unknown } | { readonly fault: string } => {
  try {
    return { json: JSON.parse(text) };
  } catch {
    return { fault: 'body is not JSON' };
  }
};

/** The handler of check-ins; it answers 400 to what is no report, and logs that once for each machine. */
export const makeCheckIn = (controller: Controller, log: Log): CheckInHandler => {
  const reader = new ReportReader();
  const malformed = new Once();

  const refuse = (
    parsed: { readonly json: unknown } | { readonly fault: string },
  ): CheckInReply => {
    const fault = 'fault' in parsed ? parsed.fault : 'fields';
    const body = 'json' in parsed ? (parsed.json as { Berth?: unknown } | null) : null;
    const machine = 'json' in parsed ? String(body?.Berth).slice(0, MAX_LOGGED_NAME) : '';
    if (malformed.first(`${machine} ${fault}`))
      log.info({ machine, fault }, 'check-in of an unknown form');
    return MALFORMED;
  };

  const answer = async (text: string): Promise<CheckInReply> => {
    const parsed = parseJson(text);
    const report = 'json' in parsed ? reader.read(parsed.json) : null;
    if (!report) return refuse(parsed);
    const decision = await controller.checkIn(report);
    switch (decision.kind) {
      case 'orders':
        return { status: 200, body: { Baton: decision.term, Orders: ordersOut(decision.orders) } };
      case 'elsewhere':
        return { status: 421, body: decision.leader === null ? {} : { Foreman: decision.leader } };
      case 'later':
        return { status: 503, body: { error: 'not now' } };
    }
  };

  return (text) =>
    answer(text).catch((error: Error) => {
      log.error({ err: error }, 'check-in failed');
      return FAULT;
    });
};
