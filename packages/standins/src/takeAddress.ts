/** Takes an address, as another process on the host may. */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { listenAt, parseAddress } from 'lentillb/sidecar';

/**
 * Listens at an address, so that no other process can; does nothing if one already does.
 *
 * @param address - the address and port
 * @param isDatagram - whether to take it for datagrams in place of connections
 * @returns gives the address back
 */
export async function takeAddress(address: string, isDatagram: boolean): Promise<() => void> {
  const { host, port } = parseAddress(address);
  const socket = createSocket('udp4');
  const server = createServer((connection) => connection.destroy());
  try {
    if (isDatagram) {
      socket.bind(port, host);
      await once(socket, 'listening');
    } else {
      await listenAt(server, { host, port });
    }
  } catch {
    return () => undefined;
  }
  return () => (isDatagram ? socket.close() : server.close());
}
