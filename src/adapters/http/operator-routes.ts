/** Routes for operators, as declared by the enabled extensions. */
import type { Context, Hono } from 'hono';
import type { ExtensionModule, ExtensionRoute } from '../../core/extensions/extension.js';
import type { OperatorApi } from '../../ports/operator-api.js';
import { answerOperatorCall, badRequest, type HttpAnswer } from './answers.js';
import { type NodeEnv, sendAnswer } from './hono-listener.js';
import { type JsonBody, readOptionalJsonBody } from './request-body.js';

const NO_BODY: JsonBody = { kind: 'json', json: null };

const callExtension = async (
  c: Context<NodeEnv>,
  operators: OperatorApi,
  extension: string,
  route: ExtensionRoute,
): Promise<HttpAnswer> => {
  const subject = c.req.param('subject') ?? '';
  const body = route.method === 'POST' ? await readOptionalJsonBody(c.env.incoming) : NO_BODY;
  if (body.kind === 'malformed') return badRequest(body.reason);
  const call = { route: route.name, subject, body: body.json };
  return answerOperatorCall(await operators.handleOperatorCall(extension, call));
};

/** Adds the routes of the enabled extensions. The leader's extension answers each request. */
export const addOperatorRoutes = (
  app: Hono<NodeEnv>,
  operators: OperatorApi,
  extensions: readonly ExtensionModule[],
): void => {
  for (const { name, routes } of extensions) {
    for (const route of routes) {
      app.on(route.method, route.path, async (c) =>
        sendAnswer(c, await callExtension(c, operators, name, route)),
      );
    }
  }
};
