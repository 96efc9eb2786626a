/**
 * Cancels a single call. Used in place of `AbortSignal`, which has more overhead and of which
 * every call would need several.
 */

/** The reason a call is cancelled. */
export const CancelReason = {
  DeadlinePassed: 'deadline-passed',
  CallerGone: 'caller-gone',
  /** The node of the request's entry is at the end of its planned stop. */
  NodeEnding: 'node-ending',
  /** Another backend server answered the request. */
  AnsweredElsewhere: 'answered-elsewhere',
} as const;
export type CancelReason = (typeof CancelReason)[keyof typeof CancelReason];

/** Whether and why a call has been cancelled. */
export class Cancellation {
  private cancelReason: CancelReason | undefined;

  private readonly listeners = new Set<() => void>();

  /** The reason the call was cancelled; undefined if it was not. */
  get reason(): CancelReason | undefined {
    return this.cancelReason;
  }

  /**
   * Cancels the call. Has no effect if it is already cancelled.
   *
   * @param reason - the reason for the cancellation
   */
  cancel(reason: CancelReason): void {
    if (this.cancelReason === undefined) {
      this.cancelReason = reason;
      [...this.listeners].forEach((listener) => listener());
      this.listeners.clear();
    }
  }

  /**
   * Subscribes to the cancellation.
   *
   * @param listener - called once on cancellation, immediately if the call is already cancelled
   * @returns a function that removes the listener
   */
  onCancel(listener: () => void): () => void {
    if (this.cancelReason !== undefined) {
      listener();
      return () => undefined;
    }
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
