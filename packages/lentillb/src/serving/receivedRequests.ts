/**
 * Remembers which requests other nodes have sent to this gate. A connection can go silent without a
 * reset, so that neither end learns whether a request or its answer has arrived. The sender then asks
 * by other means. A request that it has asked for and that has not arrived will never run here, so the
 * sender may send it again.
 */
import { DeliveryState } from '../directory/delivery.js';
import type { Clock } from '../kernel/clock.js';

/**
 * How long a request is remembered after its end, in milliseconds. Data of a connection that its
 * sender has reset does not arrive later than that.
 */
const RETENTION_MS = 10_000;

interface ReceivedRequest {
  /** The number of requests in progress with the same key; more than one only by a caller's mistake. */
  inProgress: number;
  /** What to tell of it when none is in progress. */
  state: DeliveryState;
  /** Whether its sender may have been told that it has not run. */
  isDenied: boolean;
  changedAtMs: number;
}

/** Knows the requests that have lately arrived from other nodes, or have been asked for. */
export class ReceivedRequests {
  /** The requests by key, in the order of their arrival. */
  private readonly requests = new Map<string, ReceivedRequest>();

  /** @param clock - the clock for the time for which requests are remembered */
  constructor(private readonly clock: Clock) {}

  /**
   * Records that a request has arrived.
   *
   * @param key - the key under which it was sent
   * @returns whether it may run; not if its sender has already been told that it has not run
   */
  admit(key: string): boolean {
    const known = this.requests.get(key);
    if (known === undefined) {
      this.add(key, DeliveryState.InProgress, 1);
      return true;
    }
    if (known.isDenied) {
      return false;
    }
    known.inProgress += 1;
    return true;
  }

  /**
   * Records the end of a request that was admitted.
   *
   * @param key - the key under which it was sent
   * @param mayHaveRun - whether it may have run
   */
  recordEnd(key: string, mayHaveRun: boolean): void {
    const known = this.requests.get(key);
    if (known !== undefined) {
      known.inProgress -= 1;
      // An earlier request with the same identity may have run.
      const hasRun = mayHaveRun || known.state === DeliveryState.Ended;
      known.state = hasRun ? DeliveryState.Ended : DeliveryState.NotRun;
      known.changedAtMs = this.clock.monotonicMs();
    }
  }

  /**
   * @param key - the key under which a request was sent
   * @returns whether the request has arrived, or has been denied
   */
  isKnown(key: string): boolean {
    return this.requests.has(key);
  }

  /**
   * Tells what has become of a request.
   *
   * @param key - the key under which it was sent
   * @param mayDeny - whether it is refused from now on if it has not arrived
   * @returns the state of the request
   */
  inquire(key: string, mayDeny: boolean): DeliveryState {
    const known = this.requests.get(key);
    if (known !== undefined && known.inProgress > 0) {
      return DeliveryState.InProgress;
    }
    if (known?.state === DeliveryState.Ended) {
      return DeliveryState.Ended;
    }
    // A caller may have used the identity of a request again that ran in an earlier process.
    return mayDeny ? this.deny(key) : DeliveryState.NotArrived;
  }

  private deny(key: string): DeliveryState {
    const known = this.requests.get(key);
    if (known === undefined) {
      this.add(key, DeliveryState.NotRun, 0);
    } else {
      known.isDenied = true;
      known.changedAtMs = this.clock.monotonicMs();
    }
    return DeliveryState.NotRun;
  }

  private add(key: string, state: DeliveryState, inProgress: number): void {
    const nowMs = this.clock.monotonicMs();
    this.removeExpired(nowMs - RETENTION_MS);
    const isDenied = state === DeliveryState.NotRun;
    this.requests.set(key, { inProgress, state, isDenied, changedAtMs: nowMs });
  }

  private removeExpired(limitMs: number): void {
    for (const [key, { changedAtMs, inProgress }] of this.requests) {
      if (changedAtMs > limitMs || inProgress > 0) {
        break;
      }
      this.requests.delete(key);
    }
  }
}
