/**
 * Blocks the event loop, so that data that arrives meanwhile is read late.
 *
 * @param durationMs - the duration, in milliseconds
 */
export function blockEventLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}
