/** Starts and stops listening on a server. */
import { Server } from 'node:net';
import type { ListenOptions } from 'node:net';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { waitForPendingInput } from './pendingInput.js';

/** The maximum number of turns of the event loop in which connections are accepted at a stop. */
const MAX_ACCEPT_TURNS = 2_048;

/**
 * Makes one attempt to listen on an address. After a failure, the server can be used for another one.
 *
 * @param server - a server that does not listen yet
 * @param options - the address to listen on
 * @returns the port, or 0 if the address has none; or why the address cannot be opened
 */
export function attemptToListen(
  server: Server,
  options: ListenOptions,
): Promise<Result<number, NodeJS.ErrnoException>> {
  return new Promise((resolve) => {
    const onError = (error: NodeJS.ErrnoException): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the handlers refer to each other
      server.off('listening', onListening);
      resolve(Err(error));
    };
    const onListening = (): void => {
      server.off('error', onError);
      const bound = server.address();
      resolve(Ok(bound !== null && typeof bound === 'object' ? bound.port : 0));
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(options);
  });
}

/**
 * Starts to listen on an address. Errors of the listening server, such as a connection that could not be
 * accepted, do not end the process: they are reported as warnings of the process.
 *
 * @param server - a server that does not listen yet
 * @param options - the address to listen on
 * @returns the port, or 0 if the address has none; rejects if the address is not available
 */
export async function listenAt(server: Server, options: ListenOptions): Promise<number> {
  const attempt = await attemptToListen(server, options);
  if (attempt.isErr()) {
    throw attempt.error;
  }
  server.on('error', (error) => process.emitWarning(error));
  return attempt.value;
}

/**
 * Accepts the connections that clients have already established. Closing the server would reset them,
 * and with them requests that their senders have sent.
 *
 * @param server - a server that still listens
 */
export async function acceptEstablished(server: Server): Promise<void> {
  let accepted = 0;
  const count = (): void => {
    accepted += 1;
  };
  server.on('connection', count);
  for (let turn = 0; turn < MAX_ACCEPT_TURNS; turn += 1) {
    const acceptedBefore = accepted;
    await waitForPendingInput();
    if (accepted === acceptedBefore) {
      break;
    }
  }
  server.off('connection', count);
}

/**
 * Stops accepting connections, and leaves idle ones open. `close` of an HTTP server would also
 * close idle connections, on which a request may already be in transit.
 *
 * @param server - a server of any protocol
 */
export function stopAccepting(server: Server): void {
  Server.prototype.close.call(server);
}
