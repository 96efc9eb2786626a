/** Servers of stand-ins, on a free port of loopback. */
import type { Server } from 'node:http';
import type { AddressInfo, Server as NetServer } from 'node:net';
import { listenAt } from 'lentillb/sidecar';

const LOOPBACK = '127.0.0.1';

/**
 * @param server - a server that does not listen yet
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

/** @param server - a server to end, with its connections */
export async function endServer(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
}
