/** Whether a caller still waits for its answer. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { untilPendingInputIsRead } from '../utils/pendingInput.js';
import { Cancellation, CancelReason } from './cancellation.js';

/**
 * Watches the connection that a request came on.
 *
 * @param request - the request
 * @param response - its response
 * @returns a cancellation that is cancelled when the connection ends before the response is sent
 */
export function watchCaller({ socket }: IncomingMessage, response: ServerResponse): Cancellation {
  const cancellation = new Cancellation();
  const leave = (): void => {
    if (!response.writableFinished) {
      cancellation.cancel(CancelReason.CallerGone);
    }
  };
  // A caller may pipeline any number of requests, each of which listens.
  socket.setMaxListeners(0);
  // Read some turns of the event loop before the response is closed.
  socket.once('end', leave);
  response.once('close', () => {
    socket.off('end', leave);
    leave();
  });
  return cancellation;
}

/**
 * Decides whether a request is still worth passing on. Answers a load that keeps the event loop
 * busy: requests then lie unread, and the ends of their connections behind them.
 *
 * @param cancellation - the cancellation of the request
 * @returns whether it goes on once all that its caller sent has been read
 */
export async function isStillWanted(cancellation: Cancellation): Promise<boolean> {
  await untilPendingInputIsRead();
  return cancellation.reason === undefined;
}
