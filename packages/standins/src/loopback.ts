/** Helpers for servers on the loopback interface. */
import type { Server } from 'node:http';
import type { AddressInfo, Server as NetServer } from 'node:net';
import { listenAt } from 'lentillb/sidecar';

const LOOPBACK = '127.0.0.1';

/**
 * Starts a server on a free port.
 *
 * @param server - a server that is not listening
 * @returns its address and port
 */
export async function listenOnLoopback(server: NetServer): Promise<string> {
  return `${LOOPBACK}:${await listenAt(server, { host: LOOPBACK, port: 0 })}`;
}

/**
 * @param server - a server that listens on loopback
 * @returns its address and port
 */
export function loopbackAddress(server: NetServer): string {
  return `${LOOPBACK}:${(server.address() as AddressInfo).port}`;
}

/**
 * Closes a server and its connections.
 *
 * @param server - the server
 */
export async function closeServer(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
}
