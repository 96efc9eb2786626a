/** Notices requests that end without an answer and without an error. */
import type { ClientRequest } from 'node:http';

/**
 * Calls an action if a request is closed before its answer has begun. Without it, nothing may tell the end
 * of a request whose server switches to another protocol: its connection is closed without an error.
 *
 * @param outgoing - a request that has not been sent yet
 * @param action - the function to call; an error of the request may have been reported before
 */
export function onClosedUnanswered(outgoing: ClientRequest, action: () => void): void {
  outgoing.once('close', action);
  outgoing.once('response', () => outgoing.off('close', action));
}
