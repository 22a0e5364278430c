/**
 * For the build: runs through what a controller's start runs through, so that the compiled code
 * that is kept beside the bundle holds those functions too. It opens no socket, file or timer.
 */

import { DEFAULT_POLICY } from '../adapters/configuration/policy.js';
import { parseSettings } from '../adapters/configuration/settings.js';
import { makeApi } from '../adapters/http/api.js';
import { createLog } from '../adapters/logging/log.js';
import { Jitter } from '../adapters/runtime/random.js';
import { Controller } from '../service/controller.js';

/** Creates a controller and its HTTP interface for the settings, and stops it unstarted. */
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
