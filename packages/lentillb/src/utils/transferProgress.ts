/** Tracks a response while it arrives, so that its receiver can tell silence from a slow link. */
import type { Clock } from '../kernel/clock.js';

/** The progress of one response. All times are in milliseconds of the monotonic clock. */
export class TransferProgress {
  private readonly startedAtMs: number;

  private lastByteAtMs: number;

  private receivedBytes = 0;

  private readonly controller = new AbortController();

  /**
   * @param clock - the clock by which the response is timed
   * @param onBytes - called when bytes have arrived
   */
  constructor(
    private readonly clock: Clock,
    private readonly onBytes: () => void = () => undefined,
  ) {
    this.startedAtMs = clock.monotonicMs();
    this.lastByteAtMs = this.startedAtMs;
  }

  /** The number of bytes that have arrived. */
  get bytes(): number {
    return this.receivedBytes;
  }

  /** The time since the request was sent, in milliseconds. */
  get durationMs(): number {
    return this.clock.monotonicMs() - this.startedAtMs;
  }

  /** The duration, in milliseconds, and the size, in bytes, as fields of a log line. */
  get fields(): { readonly durationMs: number; readonly bytes: number } {
    return { durationMs: Math.round(this.durationMs), bytes: this.bytes };
  }

  /** The time since the last byte arrived, in milliseconds; since the start if none has. */
  get silentMs(): number {
    return this.clock.monotonicMs() - this.lastByteAtMs;
  }

  /** Aborted once the receiver needs the response no more. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Whether the receiver needs the response no more. */
  get isCancelled(): boolean {
    return this.controller.signal.aborted;
  }

  /** @param count - the number of bytes that have just arrived */
  add(count: number): void {
    this.receivedBytes += count;
    this.lastByteAtMs = this.clock.monotonicMs();
    this.onBytes();
  }

  /** Cancels the response, because its receiver needs it no more. */
  cancel(): void {
    this.controller.abort();
  }
}
