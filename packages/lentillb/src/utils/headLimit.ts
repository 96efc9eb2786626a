/** Ends exchanges with servers that send bytes without end ahead of an answer. */
import type { ClientRequest } from 'node:http';

/**
 * The most bytes that are read ahead of a final answer, in bytes: header lines are bounded by the HTTP
 * parser, blank lines and interim answers are not.
 */
const MAX_HEAD_BYTES = 64 * 1024;

/**
 * Bounds what a server may send ahead of its answer.
 *
 * @param outgoing - a request that was not sent yet
 * @param onExceeded - called once where it sends more
 */
export function limitHead(outgoing: ClientRequest, onExceeded: () => void): void {
  outgoing.once('socket', (socket) => {
    let bytes = 0;
    let counting = true;
    const count = (chunk: Buffer): void => {
      bytes += chunk.length;
      if (counting && bytes > MAX_HEAD_BYTES) {
        counting = false;
        onExceeded();
      }
    };
    const stop = (): void => {
      counting = false;
      socket.off('data', count);
    };
    socket.on('data', count);
    outgoing.once('response', stop);
    outgoing.once('close', stop);
  });
}
