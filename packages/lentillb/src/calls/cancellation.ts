/** Ends one call early. Lighter than an abort signal, which every call would need several of. */

/** Why a call ends early. */
export const CancelReason = {
  DeadlinePassed: 'deadline-passed',
  CallerGone: 'caller-gone',
} as const;
export type CancelReason = (typeof CancelReason)[keyof typeof CancelReason];

/** Whether and why a call has been cancelled. */
export class Cancellation {
  private cancelledFor: CancelReason | undefined;

  private readonly listeners = new Set<() => void>();

  /** Why the call was cancelled; undefined while it goes on. */
  get reason(): CancelReason | undefined {
    return this.cancelledFor;
  }

  /**
   * Cancels the call; a second reason changes nothing.
   *
   * @param reason - why
   */
  cancel(reason: CancelReason): void {
    if (this.cancelledFor === undefined) {
      this.cancelledFor = reason;
      [...this.listeners].forEach((listener) => listener());
      this.listeners.clear();
    }
  }

  /**
   * @param listener - called once when the call is cancelled, at once if it is already
   * @returns ends the subscription
   */
  onCancel(listener: () => void): () => void {
    if (this.cancelledFor !== undefined) {
      listener();
      return () => undefined;
    }
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
