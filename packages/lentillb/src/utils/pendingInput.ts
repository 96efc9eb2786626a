/** Input that has arrived at this process and has not been read yet. */

/**
 * Waits until the event loop has read what its sockets held when this was called. A loop that was
 * held runs its timers first, then reads a request, and only in its next turn the end of the
 * connection that the request came on.
 */
export function untilPendingInputIsRead(): Promise<void> {
  return new Promise((resolve) => {
    // The first ends this turn, the second one that polled all sockets.
    setImmediate(() => setImmediate(resolve));
  });
}
