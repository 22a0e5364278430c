/** TCP server that answers questions from other controllers. */
import { createServer, type Server, type Socket } from 'node:net';
import type { HandlePeerRequest } from '../../ports/peer.js';
import type { Endpoint } from '../configuration/settings.js';
import { encodeFrame, FrameDecoder } from './frames.js';
import { encodeAnswer, parseQuestion } from './question-codec.js';

const IDLE_TIMEOUT_MS = 60_000;
const MAX_CONNECTIONS = 64;

/** Called with the reason why a message was dropped; the set of reasons must be bounded. */
export type OnDroppedMessage = (reason: string) => void;

const answerMessage = async (
  socket: Socket,
  message: unknown,
  answerPeer: HandlePeerRequest,
  onDropped: OnDroppedMessage,
): Promise<void> => {
  const parsed = parseQuestion(message);
  if (!parsed) {
    onDropped('malformed question');
    return;
  }
  const answer = await answerPeer(parsed.question);
  if (!socket.destroyed) socket.write(encodeFrame(encodeAnswer(parsed.n, answer)));
};

const handleConnection = (
  socket: Socket,
  answerPeer: HandlePeerRequest,
  onDropped: OnDroppedMessage,
): void => {
  const decoder = new FrameDecoder();
  socket.setNoDelay(true);
  socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
  socket.on('error', () => socket.destroy());
  socket.on('data', (bytes: Buffer) => {
    try {
      for (const message of decoder.decode(bytes)) {
        answerMessage(socket, message, answerPeer, onDropped).catch((error: Error) =>
          onDropped(error.message),
        );
      }
    } catch (error) {
      onDropped((error as Error).message);
      socket.destroy();
    }
  });
};

/** Listens for peers. A message that cannot be answered is dropped; the others are not affected. */
export const servePeers = (
  endpoint: Endpoint,
  answerPeer: HandlePeerRequest,
  onDropped: OnDroppedMessage,
): Server => {
  const server = createServer((socket) => handleConnection(socket, answerPeer, onDropped));
  server.maxConnections = MAX_CONNECTIONS;
  server.listen(endpoint.port, endpoint.host);
  return server;
};
