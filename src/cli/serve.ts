import { startApi } from '../adapters/http/api-server.js';
import { makeLog, Once } from '../adapters/logging/log.js';
import { servePeers } from '../adapters/peers/peer-link.js';
import { Jitter } from '../adapters/runtime/random.js';
import { Controller } from '../service/controller.js';
import { type Files, loadFiles } from './load.js';

export const serve = async (files: Files): Promise<void> => {
  const { settings, policy, extensions } = await loadFiles(files);
  const log = makeLog(settings.node);
  process.on('uncaughtException', (error) => {
    log.error({ err: error }, 'uncaught');
    process.exit(1);
  });
  const jitter = new Jitter((Date.now() ^ (process.pid << 8)) | 0);
  const controller = new Controller(settings, policy, log, jitter, extensions);
  startApi(settings, controller, log);
  const dropped = new Once();
  servePeers(
    settings.peerAddress,
    (question) => controller.respond(question),
    (reason) => {
      if (dropped.first(reason)) log.info({ reason }, 'peer message dropped');
    },
  ).on('error', (error) => {
    log.error({ err: error }, 'cannot listen for peers');
    process.exit(1);
  });
  controller.start();
  log.info({ api: settings.api, zone: settings.zone }, 'serving');
};
