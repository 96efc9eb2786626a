/** Detects hosts that failed without leaving; each is watched by its neighbours in the tree. */
import { create } from '@bufbuild/protobuf';
import { AnnouncementSchema, HostState } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { isPresent } from '../membership/fleet.js';
import { EventKind } from '../timeline/event.js';

/** The interval between checks of the neighbours, in milliseconds. */
const CHECK_INTERVAL_MS = 500;
/** The maximum time a neighbour may be without a link before it is probed, in milliseconds. */
const PROBE_DELAY_MS = 2_500;
/** The maximum time a host may take to answer a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;

type Dependencies = Pick<
  Services,
  'clock' | 'fleet' | 'linkTable' | 'peerDialer' | 'settings' | 'timeline' | 'topologyView'
>;

/** Probes neighbours without a link, and announces those that do not answer as lost. */
export class Watcher {
  private readonly unlinkedSinceMs = new Map<string, number>();

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /**
   * Checks the neighbours at every interval.
   *
   * @param signal - stops the checks when aborted
   */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, fleet } = this.services;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      fleet.removeExpiredTombstones();
      const unlinked = this.findUnlinkedNeighbours();
      await Promise.all(unlinked.map((host) => this.probeHost(host)));
    }
  }

  /** Returns the neighbours that have had no link for at least the probe delay. */
  private findUnlinkedNeighbours(): readonly string[] {
    const { clock, linkTable } = this.services;
    const nowMs = clock.monotonicMs();
    const watchedHosts = this.watchedHosts();
    this.unlinkedSinceMs.forEach((_, host) => {
      if (!watchedHosts.has(host) || linkTable.has(host)) {
        this.unlinkedSinceMs.delete(host);
      }
    });
    return [...watchedHosts].filter((host) => {
      if (linkTable.has(host)) {
        return false;
      }
      const sinceMs = this.unlinkedSinceMs.get(host) ?? nowMs;
      this.unlinkedSinceMs.set(host, sinceMs);
      return nowMs - sinceMs >= PROBE_DELAY_MS;
    });
  }

  /**
   * Returns the hosts to watch: all children, and the uplinks in the own zone only while none of
   * them has an open link.
   */
  private watchedHosts(): ReadonlySet<string> {
    const { fleet, linkTable, settings, topologyView } = this.services;
    const { children, links } = topologyView.current;
    const uplinkHosts = [...links.keys()].filter((host) => fleet.get(host)?.zone === settings.zone);
    const hasNoUplink = uplinkHosts.length > 0 && !uplinkHosts.some((host) => linkTable.has(host));
    const hosts = [...children, ...(hasNoUplink ? uplinkHosts : [])];
    return new Set(
      hosts.filter((host) => {
        const announcement = fleet.get(host);
        return announcement !== undefined && isPresent(announcement);
      }),
    );
  }

  private async probeHost(host: string): Promise<void> {
    const { fleet, peerDialer, timeline } = this.services;
    const announcement = fleet.get(host);
    if (announcement === undefined) {
      return;
    }
    const peer = { address: announcement.address, port: announcement.peerPort };
    const probed = await peerDialer.probe(peer, host, PROBE_TIMEOUT_MS);
    this.unlinkedSinceMs.delete(host);
    if (probed.isErr()) {
      timeline.record(EventKind.HostLost, { peer: host, detail: probed.error });
      const lost = { ...announcement, state: HostState.LOST, backendServers: [] };
      fleet.merge(create(AnnouncementSchema, lost));
    }
  }
}
