/** How servers begin and end to listen. */
import { Server } from 'node:net';
import type { ListenOptions } from 'node:net';

/**
 * @param server - a server that does not listen yet
 * @param options - where to listen
 * @returns the port; rejects where the address can't be had
 */
export async function listenAt(server: Server, options: ListenOptions): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options, resolve);
  });
  const bound = server.address();
  return bound !== null && typeof bound === 'object' ? bound.port : 0;
}

/**
 * Takes no new connections. The close of an HTTP server would cut idle connections, too, which a
 * request may be on its way to.
 *
 * @param server - a server of any kind
 */
export function stopAccepting(server: Server): void {
  Server.prototype.close.call(server);
}
