/** Opens many connections at once, on which nothing or a part of a request is sent. */
import { connect } from 'node:net';
import { parseAddress } from 'lentillb/sidecar';

const BODY_BYTES = 1_000_000;
const START = `POST /unfinished HTTP/1.1\r\nhost: browse.example\r\n`;
const BODY_START = `${START}x-attempt-id: unfinished\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`;

/** The parts of a request after which its sender waits, each with a number of connections. */
export const unfinishedRequests = {
  none: { count: 1_000, content: '' },
  head: { count: 1_000, content: `${START}x-padding: ${'x'.repeat(60_000)}` },
  body: { count: 200, content: `${BODY_START}${'x'.repeat(0.9 * BODY_BYTES)}` },
} as const;

/**
 * @param address - the address and port to connect to
 * @param unfinished - the part of a request to send on each connection, and their number
 * @returns closes the connections
 */
export function sendUnfinishedRequests(
  address: string,
  unfinished: { readonly count: number; readonly content: string },
): () => void {
  const content = Buffer.from(unfinished.content);
  const sockets = Array.from({ length: unfinished.count }, () => {
    const socket = connect(parseAddress(address));
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(content);
    return socket;
  });
  return () => sockets.forEach((socket) => socket.destroy());
}
