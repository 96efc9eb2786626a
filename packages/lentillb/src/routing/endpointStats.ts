/** Tracks the calls and failures that this node observes at each backend server. */
import type { Clock } from '../kernel/clock.js';
import type { Endpoint } from '../membership/fleetView.js';

const CONSECUTIVE_FAILURES_TO_EJECT = 3;
const MIN_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
/** The time without a call after which the record of a backend server expires. */
const IDLE_EXPIRY_MS = 10 * 60 * 1_000;
/** The number of records at which the removal of expired ones starts. */
const EXPIRY_MIN_ENDPOINTS = 4_096;

interface EndpointRecord {
  inFlight: number;
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  lastUsedMs: number;
}

/**
 * @param endpoint - a backend server
 * @returns a key that is unique among all hosts
 */
export function endpointKey({ host, id }: Pick<Endpoint, 'host' | 'id'>): string {
  return `${host}/${id}`;
}

/** Counts calls and consecutive failures by backend server, and ejects those that keep failing. */
export class EndpointStats {
  private readonly records = new Map<string, EndpointRecord>();

  constructor(private readonly services: { readonly clock: Clock }) {}

  /**
   * @param endpoint - a backend server
   * @returns the number of this node's calls in flight to it
   */
  inFlight(endpoint: Endpoint): number {
    return this.records.get(endpointKey(endpoint))?.inFlight ?? 0;
  }

  /**
   * @param endpoint - a backend server
   * @returns true while it is ejected, so that calls avoid it
   */
  isEjected(endpoint: Endpoint): boolean {
    const record = this.records.get(endpointKey(endpoint));
    return record !== undefined && record.ejectedUntilMs > this.services.clock.monotonicMs();
  }

  /**
   * Counts a call as in flight.
   *
   * @param endpoint - the backend server that the call is sent to
   */
  recordStart(endpoint: Endpoint): void {
    const record = this.getOrCreateRecord(endpoint);
    record.inFlight += 1;
    record.lastUsedMs = this.services.clock.monotonicMs();
  }

  /**
   * Counts a call as finished.
   *
   * @param endpoint - the backend server that the call was sent to
   */
  recordEnd(endpoint: Endpoint): void {
    this.getOrCreateRecord(endpoint).inFlight -= 1;
  }

  /**
   * Resets the failures and the ejection time.
   *
   * @param endpoint - a backend server that answered
   */
  recordSuccess(endpoint: Endpoint): void {
    const record = this.getOrCreateRecord(endpoint);
    record.failures = 0;
    record.ejections = 0;
  }

  /**
   * Counts a failure. Each ejection since the last answer lasts twice as long as the one before, up
   * to a limit.
   *
   * @param endpoint - a backend server whose connection failed
   * @returns true if this failure ejects it
   */
  recordFailure(endpoint: Endpoint): boolean {
    const record = this.getOrCreateRecord(endpoint);
    record.failures += 1;
    if (record.failures < CONSECUTIVE_FAILURES_TO_EJECT) {
      return false;
    }
    const durationMs = Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** record.ejections);
    record.ejections += 1;
    record.failures = 0;
    record.ejectedUntilMs = this.services.clock.monotonicMs() + durationMs;
    return true;
  }

  private getOrCreateRecord(endpoint: Endpoint): EndpointRecord {
    const key = endpointKey(endpoint);
    const existing = this.records.get(key);
    if (existing !== undefined) {
      return existing;
    }
    this.removeIdle();
    const lastUsedMs = this.services.clock.monotonicMs();
    const record = { inFlight: 0, failures: 0, ejections: 0, ejectedUntilMs: 0, lastUsedMs };
    this.records.set(key, record);
    return record;
  }

  private removeIdle(): void {
    if (this.records.size < EXPIRY_MIN_ENDPOINTS) {
      return;
    }
    const cutoffMs = this.services.clock.monotonicMs() - IDLE_EXPIRY_MS;
    this.records.forEach(({ inFlight, lastUsedMs }, key) => {
      if (inFlight === 0 && lastUsedMs < cutoffMs) {
        this.records.delete(key);
      }
    });
  }
}
