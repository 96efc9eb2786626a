/** Detects callers that disconnect before they get their response. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Cancellation, CancelReason } from './cancellation.js';

/**
 * Watches the connection on which a request arrived.
 *
 * @param request - the request
 * @param response - its response
 * @returns a cancellation that is triggered if the connection ends before the response is sent
 */
export function cancelOnDisconnect(
  { socket }: IncomingMessage,
  response: ServerResponse,
): Cancellation {
  const cancellation = new Cancellation();
  const onDisconnect = (): void => {
    if (!response.writableFinished) {
      cancellation.cancel(CancelReason.CallerGone);
    }
  };
  // A caller may pipeline any number of requests, each of which adds a listener.
  socket.setMaxListeners(0);
  // The socket emits `end` some turns of the event loop before the response emits `close`.
  socket.once('end', onDisconnect);
  response.once('close', () => {
    socket.off('end', onDisconnect);
    onDisconnect();
  });
  return cancellation;
}
