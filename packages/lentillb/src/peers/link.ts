/** What is known of the link to one host. */

/** The link to one host; times are in milliseconds of the clock. */
export class Link {
  /** Called where the host has gone silent, one for each request under way. */
  readonly waiting = new Set<() => void>();

  silent = false;

  private askedAtMs = -Infinity;

  private askedCount = 0;

  /**
   * @param peerAddress - where the node of the host answers others
   * @param heardAtMs - when it was last heard
   */
  constructor(
    readonly peerAddress: string,
    private heardAtMs: number,
  ) {}

  /** How many questions in a row were not answered. */
  get asked(): number {
    return this.askedCount;
  }

  /**
   * @param nowMs - the time
   * @returns how long it has not been heard, in milliseconds
   */
  unheardMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /**
   * @param nowMs - the time
   * @returns how long ago it was asked, in milliseconds
   */
  sinceAskedMs(nowMs: number): number {
    return nowMs - this.askedAtMs;
  }

  /** @param nowMs - the time at which the host was heard, or counts as heard */
  hear(nowMs: number): void {
    this.heardAtMs = Math.max(this.heardAtMs, nowMs);
    this.askedCount = 0;
  }

  /** @param nowMs - the time at which the host is asked */
  noteAsked(nowMs: number): void {
    this.askedAtMs = nowMs;
    this.askedCount += 1;
  }
}
