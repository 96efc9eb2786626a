/** Addresses that nobody listens on. */
import { createServer } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';

/** @returns an address and port on loopback that was free just now */
export async function freeAddress(): Promise<string> {
  const server = createServer();
  const address = await listenOnLoopback(server);
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  return address;
}
