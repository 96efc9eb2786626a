/** Detects callers that disconnect before they get their response. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Cancellation, CancelReason } from './cancellation.js';

/**
 * Closes a response that waits behind another one together with its connection. Node.js reports the end of
 * a connection only to the response that is being sent.
 */
function closeWithConnection(socket: Socket, response: ServerResponse): void {
  const close = (): void => {
    const isWaiting = response.socket === null && !response.writableFinished;
    if (isWaiting && !response.destroyed) {
      response.destroy();
      response.emit('close');
    }
  };
  socket.once('close', close);
  response.once('close', () => socket.off('close', close));
}

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
  if (response.socket === null) {
    closeWithConnection(socket, response);
  }
  // The socket emits `end` some turns of the event loop before the response emits `close`.
  socket.once('end', onDisconnect);
  response.once('close', () => {
    socket.off('end', onDisconnect);
    onDisconnect();
  });
  return cancellation;
}
