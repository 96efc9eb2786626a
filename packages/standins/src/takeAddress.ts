/** Takes an address, as another process on the host may. */
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { listenAt, parseAddress } from 'lentillb/sidecar';

async function takeForDatagrams(address: string): Promise<() => void> {
  const { host, port } = parseAddress(address);
  const socket = createSocket('udp4');
  socket.bind(port, host);
  await once(socket, 'listening');
  return () => socket.close();
}

async function takeForConnections(address: string): Promise<() => void> {
  const server = createServer((connection) => connection.destroy());
  await listenAt(server, parseAddress(address));
  return () => server.close();
}

/**
 * Listens at an address, so that no other process can; does nothing if one already does.
 *
 * @param address - the address and port
 * @param isDatagram - whether to take it for datagrams in place of connections
 * @returns gives the address back
 */
export async function takeAddress(address: string, isDatagram: boolean): Promise<() => void> {
  try {
    return await (isDatagram ? takeForDatagrams(address) : takeForConnections(address));
  } catch {
    return () => undefined;
  }
}
