/** Keeps the times at which messages were sent that may still be answered. */

/**
 * Deletes the times of messages before a time. Messages are in the order in which they were sent.
 *
 * @param sentAtMs - the times by the numbers of the messages
 * @param endMs - the time
 */
export function deleteEarlier(sentAtMs: Map<number, number>, endMs: number): void {
  for (const [number, timeMs] of sentAtMs) {
    if (timeMs >= endMs) {
      break;
    }
    sentAtMs.delete(number);
  }
}
