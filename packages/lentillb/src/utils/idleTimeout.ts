/** Closes idle connections without losing requests that have arrived on them unread. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { runInBackground } from './background.js';
import { waitForPendingInput } from './pendingInput.js';

async function closeIfUnheard(socket: Socket): Promise<void> {
  const { bytesRead } = socket;
  await waitForPendingInput();
  if (socket.bytesRead === bytesRead) {
    socket.destroy();
  }
}

/**
 * Closes a connection whose idle time is over only once its input has been read. After the event loop
 * was blocked, the timer of the connection fires before a request that arrived in time is read.
 *
 * @param server - the server whose connections are closed by their idle time
 */
export function closeIdleAfterPendingInput(server: Server): void {
  server.on('timeout', (socket: Socket) => runInBackground(closeIfUnheard(socket)));
}
