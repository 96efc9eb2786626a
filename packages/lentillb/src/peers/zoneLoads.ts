/**
 * Collects the loads of the gates of a zone at the nodes that read the store for it. Each node sends
 * its own load to them, and they pass all of them on, so the number of messages grows with the
 * number of hosts and not with its square.
 */
import type { HostGateLoad } from '../directory/gateLoad.js';
import type { Clock } from '../kernel/clock.js';

/** How long a load is passed on after it was received, in milliseconds: two reports may be lost. */
const MAX_AGE_MS = 1_500;

interface ReceivedLoad {
  readonly load: HostGateLoad;
  readonly receivedAtMs: number;
}

/** The recent loads of the gates of a zone. */
export class ZoneLoads {
  private readonly byHost = new Map<number, ReceivedLoad>();

  /** @param clock - the clock by which the age of loads is measured */
  constructor(private readonly clock: Clock) {}

  /** @param load - the load that the node of a host reported of its own gate */
  record(load: HostGateLoad): void {
    this.byHost.set(load.hostHash, { load, receivedAtMs: this.clock.monotonicMs() });
  }

  /** @returns the loads that were received lately */
  recent(): readonly HostGateLoad[] {
    const sinceMs = this.clock.monotonicMs() - MAX_AGE_MS;
    this.byHost.forEach(({ receivedAtMs }, hostHash) => {
      if (receivedAtMs < sinceMs) {
        this.byHost.delete(hostHash);
      }
    });
    return [...this.byHost.values()].map(({ load }) => load);
  }
}
