/** Tracks when a host was last heard and pinged, for the failure detector. */

/** The liveness state of one host. Times are in milliseconds of the monotonic clock. */
export class MonitoredHost {
  /** Callbacks for when the host becomes silent, one for each request in flight. */
  readonly silenceListeners = new Set<() => void>();

  /** Whether the host counts as silent. */
  silent = false;

  private pingedAtMs = -Infinity;

  private unansweredCount = 0;

  /**
   * @param peerAddress - the address and port at which the node of the host answers other nodes
   * @param heardAtMs - when the host was last heard
   */
  constructor(
    readonly peerAddress: string,
    private heardAtMs: number,
  ) {}

  /** The number of consecutive pings without an answer. */
  get unansweredPings(): number {
    return this.unansweredCount;
  }

  /**
   * @param nowMs - the current time
   * @returns the time since the host was last heard, in milliseconds
   */
  sinceHeardMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /**
   * @param nowMs - the current time
   * @returns the time since the host was last pinged, in milliseconds
   */
  sincePingMs(nowMs: number): number {
    return nowMs - this.pingedAtMs;
  }

  /**
   * Records that the host was heard, and clears the unanswered pings.
   *
   * @param nowMs - the time at which the host was heard, or counts as heard
   */
  markHeard(nowMs: number): void {
    this.heardAtMs = Math.max(this.heardAtMs, nowMs);
    this.unansweredCount = 0;
  }

  /**
   * Records a ping.
   *
   * @param nowMs - the time at which the host is pinged
   */
  markPinged(nowMs: number): void {
    this.pingedAtMs = nowMs;
    this.unansweredCount += 1;
  }
}
