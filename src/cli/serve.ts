/** The command that runs one controller: it connects the adapters to the service. */

import { startApi } from '../adapters/http/api-server.js';
import { createLog, type Log, LogDeduplicator } from '../adapters/logging/log.js';
import { servePeers } from '../adapters/peers/peer-server.js';
import { Jitter } from '../adapters/runtime/random.js';
import { Controller } from '../service/controller.js';
import { EXIT_CODES } from './command-failures.js';
import { type ConfigurationPaths, loadConfiguration } from './load.js';

/** Ends the process: a controller that cannot go on is restarted, and the others carry on. */
const exitWith = (log: Log, event: string, error: unknown): void => {
  log.error({ err: error }, event);
  process.exit(EXIT_CODES.failed);
};

/** Differs between controllers that start at the same moment, and between starts of one. */
const jitterSeed = (): number => (Date.now() ^ (process.pid << 8)) | 0;

/** Runs one controller until the process ends. Throws a `SettingsError` for a faulty file. */
export const serve = async (files: ConfigurationPaths): Promise<void> => {
  const { settings, policy, extensions } = await loadConfiguration(files);
  const log = createLog(settings.node);
  process.on('uncaughtException', (error) => exitWith(log, 'uncaught exception', error));
  const controller = new Controller({
    settings,
    policy,
    log,
    jitter: new Jitter(jitterSeed()),
    extensions,
  });
  startApi(settings, controller, log);
  const droppedForReason = new LogDeduplicator();
  servePeers(
    settings.peerAddress,
    (question) => controller.handlePeerRequest(question),
    (reason) => {
      if (droppedForReason.isFirstOccurrence(reason)) log.info({ reason }, 'peer message dropped');
    },
  ).on('error', (error) => exitWith(log, 'cannot listen for peers', error));
  controller.start();
  log.info({ api: settings.api, zone: settings.zone }, 'serving');
};
