/** The command that runs a controller; connects the adapters to the service. */

import { startApi } from '../adapters/http/api-server.js';
import { createLog, type Log, LogDeduplicator } from '../adapters/logging/log.js';
import { servePeers } from '../adapters/peers/peer-server.js';
import { Jitter } from '../adapters/runtime/random.js';
import { Controller } from '../service/controller.js';
import { EXIT_CODES } from './command-failures.js';
import { type ConfigurationPaths, loadConfiguration } from './load.js';

/** Exits the process, to be restarted; meanwhile the other controllers continue. */
const logAndExit = (log: Log, event: string, error: unknown): void => {
  log.error({ err: error }, event);
  process.exit(EXIT_CODES.failed);
};

/** Returns a seed that differs between controllers started together and between restarts. */
const jitterSeed = (): number => (Date.now() ^ (process.pid << 8)) | 0;

/** Starts a controller. Throws a `SettingsError` for an invalid file. */
export const serve = async (files: ConfigurationPaths): Promise<void> => {
  const { settings, policy, extensions } = await loadConfiguration(files);
  const log = createLog(settings.node);
  process.on('uncaughtException', (error) => logAndExit(log, 'uncaught exception, exiting', error));
  const controller = new Controller({
    settings,
    policy,
    log,
    jitter: new Jitter(jitterSeed()),
    extensions,
  });
  startApi(settings, controller, log);
  const loggedDropReasons = new LogDeduplicator();
  servePeers(
    settings.peerAddress,
    (request) => controller.handlePeerRequest(request),
    (reason) => {
      if (loggedDropReasons.isFirstOccurrence(reason))
        log.info({ reason }, 'peer message dropped without an answer');
    },
  ).on('error', (error) => logAndExit(log, 'cannot listen on the peer address, exiting', error));
  controller.start();
  log.info({ api: settings.api, zone: settings.zone }, 'serving');
};
