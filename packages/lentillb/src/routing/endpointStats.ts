/** What this node itself has seen of the backend servers it calls. */
import type { Clock } from '../kernel/clock.js';
import type { Endpoint } from '../membership/fleetView.js';

/** How many failures in a row eject a backend server. */
const FAILURES_TO_EJECT = 3;
const EJECT_LEAST_MS = 1_000;
const EJECT_MOST_MS = 30_000;
/** A backend server not called for this long is forgotten, in milliseconds. */
const FORGET_AFTER_MS = 10 * 60 * 1_000;
/** How many are kept before forgetting starts. */
const MANY_ENDPOINTS = 4_096;

interface Seen {
  inFlight: number;
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  lastUsedMs: number;
}

/**
 * @param endpoint - a backend server
 * @returns its name in the whole fleet
 */
export function endpointKey({ host, id }: Pick<Endpoint, 'host' | 'id'>): string {
  return `${host}/${id}`;
}

/** Counts calls and failures by backend server. */
export class EndpointStats {
  private readonly seen = new Map<string, Seen>();

  constructor(private readonly services: { readonly clock: Clock }) {}

  /**
   * @param endpoint - a backend server
   * @returns how many calls of this node are there now
   */
  inFlight(endpoint: Endpoint): number {
    return this.seen.get(endpointKey(endpoint))?.inFlight ?? 0;
  }

  /**
   * @param endpoint - a backend server
   * @returns whether it failed so often lately that calls avoid it
   */
  isEjected(endpoint: Endpoint): boolean {
    const seen = this.seen.get(endpointKey(endpoint));
    return seen !== undefined && seen.ejectedUntilMs > this.services.clock.monotonicMs();
  }

  /** @param endpoint - a backend server that a call is sent to */
  begin(endpoint: Endpoint): void {
    const seen = this.entry(endpoint);
    seen.inFlight += 1;
    seen.lastUsedMs = this.services.clock.monotonicMs();
  }

  /** @param endpoint - a backend server whose call is over */
  end(endpoint: Endpoint): void {
    this.entry(endpoint).inFlight -= 1;
  }

  /** @param endpoint - a backend server that answered */
  succeed(endpoint: Endpoint): void {
    const seen = this.entry(endpoint);
    seen.failures = 0;
    seen.ejections = 0;
  }

  /**
   * @param endpoint - a backend server whose connection failed
   * @returns whether it is ejected for it
   */
  fail(endpoint: Endpoint): boolean {
    const seen = this.entry(endpoint);
    seen.failures += 1;
    if (seen.failures < FAILURES_TO_EJECT) {
      return false;
    }
    const durationMs = Math.min(EJECT_MOST_MS, EJECT_LEAST_MS * 2 ** seen.ejections);
    seen.ejections += 1;
    seen.failures = 0;
    seen.ejectedUntilMs = this.services.clock.monotonicMs() + durationMs;
    return true;
  }

  private entry(endpoint: Endpoint): Seen {
    const key = endpointKey(endpoint);
    const held = this.seen.get(key);
    if (held !== undefined) {
      return held;
    }
    this.forgetUnused();
    const lastUsedMs = this.services.clock.monotonicMs();
    const seen = { inFlight: 0, failures: 0, ejections: 0, ejectedUntilMs: 0, lastUsedMs };
    this.seen.set(key, seen);
    return seen;
  }

  private forgetUnused(): void {
    if (this.seen.size < MANY_ENDPOINTS) {
      return;
    }
    const oldestMs = this.services.clock.monotonicMs() - FORGET_AFTER_MS;
    this.seen.forEach(({ inFlight, lastUsedMs }, key) => {
      if (inFlight === 0 && lastUsedMs < oldestMs) {
        this.seen.delete(key);
      }
    });
  }
}
