/** TCP server that answers requests from other controllers. */
import { createServer, type Server, type Socket } from 'node:net';
import type { HandlePeerRequest } from '../../ports/peer.js';
import type { Endpoint } from '../configuration/settings.js';
import { encodeFrame, FrameDecoder } from './frames.js';
import { encodeAnswer, parseRequest } from './request-codec.js';

const IDLE_TIMEOUT_MS = 60_000;
const MAX_CONNECTIONS = 64;

/** Called with the reason why a message was dropped; the set of reasons must be bounded. */
export type OnDroppedMessage = (reason: string) => void;

const answerMessage = async (
  socket: Socket,
  message: unknown,
  handleRequest: HandlePeerRequest,
  onDropped: OnDroppedMessage,
): Promise<void> => {
  const parsed = parseRequest(message);
  if (!parsed) {
    onDropped('malformed request');
    return;
  }
  const answer = await handleRequest(parsed.request);
  if (!socket.destroyed) socket.write(encodeFrame(encodeAnswer(parsed.n, answer)));
};

const handleConnection = (
  socket: Socket,
  handleRequest: HandlePeerRequest,
  onDropped: OnDroppedMessage,
): void => {
  const decoder = new FrameDecoder();
  socket.setNoDelay(true);
  socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
  socket.on('error', () => socket.destroy());
  socket.on('data', (bytes: Buffer) => {
    try {
      for (const message of decoder.decode(bytes)) {
        answerMessage(socket, message, handleRequest, onDropped).catch((error: Error) =>
          onDropped(error.message),
        );
      }
    } catch (error) {
      onDropped((error as Error).message);
      socket.destroy();
    }
  });
};

/** Listens for peers. A message that cannot be answered is dropped without effect on others. */
export const servePeers = (
  endpoint: Endpoint,
  handleRequest: HandlePeerRequest,
  onDropped: OnDroppedMessage,
): Server => {
  const server = createServer((socket) => handleConnection(socket, handleRequest, onDropped));
  server.maxConnections = MAX_CONNECTIONS;
  server.listen(endpoint.port, endpoint.host);
  return server;
};
