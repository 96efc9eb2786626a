/** Finds addresses that nothing listens on. */
import { createServer } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';

/**
 * Finds a free address by listening on it and closing the listener again, so another process may
 * take it before it is used.
 *
 * @returns the address and port on loopback
 */
export async function freeAddress(): Promise<string> {
  const server = createServer();
  const address = await listenOnLoopback(server);
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  return address;
}
