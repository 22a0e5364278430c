/** Answers the questions of other controllers. */
import { createServer, type Server, type Socket } from 'node:net';
import type { HandlePeerRequest } from '../../ports/peer.js';
import type { Endpoint } from '../configuration/settings.js';
import { encodeFrame, FrameDecoder } from './frames.js';
import { encodeAnswer, parseQuestion } from './question-codec.js';

const IDLE_TIMEOUT_MS = 60_000;
const MAX_CONNECTIONS = 64;

/** Told why a message was dropped, in words that bound how many there are. */
export type OnDroppedMessage = (reason: string) => void;

const answerMessage = async (
  socket: Socket,
  message: unknown,
  answerPeer: HandlePeerRequest,
  onDropped: OnDroppedMessage,
): Promise<void> => {
  const parsed = parseQuestion(message);
  if (!parsed) {
    onDropped('question of an unknown form');
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

/** Listens for peers; a message that cannot be answered is dropped without harm to the others. */
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
