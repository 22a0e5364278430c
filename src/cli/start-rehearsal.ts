/**
 * Used by the build: executes the functions of a controller's start-up, so that V8's code cache
 * contains their compiled code. Opens no socket, file or timer.
 */

import { DEFAULT_POLICY } from '../adapters/configuration/policy.js';
import { parseSettings } from '../adapters/configuration/settings.js';
import { makeApi } from '../adapters/http/api.js';
import { createLog } from '../adapters/logging/log.js';
import { Jitter } from '../adapters/runtime/random.js';
import { Controller } from '../service/controller.js';

/** Creates a controller and its HTTP API, and stops it without starting it. */
export const rehearseStart = (settingsText: string): void => {
  const settings = parseSettings(settingsText);
  const log = createLog(settings.node);
  const controller = new Controller({
    settings,
    policy: DEFAULT_POLICY,
    log,
    jitter: new Jitter(1),
    extensions: [],
  });
  makeApi(controller, log);
  controller.stop();
};
