/** Addresses that nobody listens on. */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** @returns an address and port on loopback that was free just now */
export async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  return `127.0.0.1:${port}`;
}
