/** Refuses requests that cannot be read, without answering others in their place. */
import type { IncomingMessage, Server } from 'node:http';
import type { Duplex } from 'node:stream';

const BAD_REQUEST = '400 Bad Request';

/** The statuses of refusals by the codes of the errors of Node.js. */
const refusals: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Refuses what cannot be read or does not arrive in time. On a connection with a request that has arrived
 * and is not answered, the sender would take the refusal, which promises that nothing ran, for the answer to that
 * request. Such a connection is closed without an answer.
 *
 * @param server - the server whose unreadable requests are refused
 */
export function refuseUnreadable(server: Server): void {
  const unanswered = new WeakMap<Duplex, Set<IncomingMessage>>();
  server.on('request', (request, response) => {
    const requests = unanswered.get(request.socket) ?? new Set();
    unanswered.set(request.socket, requests.add(request));
    response.once('close', () => requests.delete(request));
  });
  server.on('clientError', ({ code = '' }: NodeJS.ErrnoException, socket) => {
    const requests = [...(unanswered.get(socket) ?? [])];
    if (socket.writable && !requests.some(({ complete }) => complete)) {
      const status = refusals[code] ?? BAD_REQUEST;
      socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`, 'latin1');
    }
    socket.destroy();
  });
}
