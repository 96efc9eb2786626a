/** Limits how many bytes of a response are read, as protection against endless responses. */
import type { ClientRequest, IncomingMessage } from 'node:http';

/**
 * The maximum bytes read before a final response, in bytes. Needed because the HTTP parser limits
 * header lines, but neither blank lines nor interim responses.
 */
export const MAX_RESPONSE_HEAD_BYTES = 64 * 1024;

/**
 * Limits the bytes that a server may send before its final response.
 *
 * @param outgoing - a request that has not been sent yet
 * @param onExceeded - called once if the limit is exceeded
 */
export function limitResponseHead(outgoing: ClientRequest, onExceeded: () => void): void {
  outgoing.once('socket', (socket) => {
    let bytes = 0;
    let counting = true;
    const count = (chunk: Buffer): void => {
      bytes += chunk.length;
      if (counting && bytes > MAX_RESPONSE_HEAD_BYTES) {
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
 * Limits the body of a response.
 *
 * @param response - a response whose body has not been read yet
 * @param maxBytes - the maximum length of the body, in bytes
 * @param onExceeded - called for each chunk that exceeds the limit
 */
export function limitResponseBody(
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
