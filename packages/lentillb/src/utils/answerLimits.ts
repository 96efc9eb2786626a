/** Bounds what is read from a server that sends bytes without end. */
import type { ClientRequest, IncomingMessage } from 'node:http';

/**
 * The most bytes that are read ahead of a final answer, in bytes: header lines are bounded by the HTTP
 * parser, blank lines and interim answers are not.
 */
export const MAX_HEAD_BYTES = 64 * 1024;

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

/**
 * Bounds the body of an answer.
 *
 * @param response - an answer whose body was not read yet
 * @param maxBytes - how long the body may be, in bytes
 * @param onExceeded - called for each piece beyond it
 */
export function limitBody(
  response: IncomingMessage,
  maxBytes: number,
  onExceeded: () => void,
): void {
  let bytes = 0;
  response.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      onExceeded();
    }
  });
}
