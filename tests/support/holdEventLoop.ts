/**
 * Keeps the event loop busy, so that what arrives meanwhile is read late.
 *
 * @param durationMs - for how long, in milliseconds
 */
export function holdEventLoop(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}
