/** Finds hosts that have gone without a word: each is watched by its neighbours in the tree. */
import { create } from '@bufbuild/protobuf';
import { AnnouncementSchema, HostState } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { isPresent } from '../membership/fleet.js';
import { EventKind } from '../timeline/event.js';

/** How often the watch looks, in milliseconds. */
const WATCH_INTERVAL_MS = 500;
/** How long a neighbour may be without a link before it is asked directly, in milliseconds. */
const LOST_AFTER_MS = 2_500;
/** How long it may take to answer, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;

type Needs = Pick<
  Services,
  'clock' | 'fleet' | 'linkTable' | 'peerDialer' | 'settings' | 'timeline' | 'topologyView'
>;

/** Watches the neighbours of this node. */
export class Watcher {
  private readonly missingSinceMs = new Map<string, number>();

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** @param signal - ends the watching */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, fleet } = this.services;
    while (!signal.aborted) {
      await clock.sleep(WATCH_INTERVAL_MS, signal);
      fleet.forgetGone();
      const missing = this.findMissing();
      await Promise.all(missing.map((host) => this.examine(host)));
    }
  }

  /** The neighbours that have had no link for too long. */
  private findMissing(): readonly string[] {
    const { clock, linkTable } = this.services;
    const nowMs = clock.monotonicMs();
    const watched = this.watched();
    this.missingSinceMs.forEach((_, host) => {
      if (!watched.has(host) || linkTable.has(host)) {
        this.missingSinceMs.delete(host);
      }
    });
    return [...watched].filter((host) => {
      if (linkTable.has(host)) {
        return false;
      }
      const sinceMs = this.missingSinceMs.get(host) ?? nowMs;
      this.missingSinceMs.set(host, sinceMs);
      return nowMs - sinceMs >= LOST_AFTER_MS;
    });
  }

  /** Children always; the nodes above in the own zone only where none of them is linked. */
  private watched(): ReadonlySet<string> {
    const { fleet, linkTable, settings, topologyView } = this.services;
    const { children, links } = topologyView.current;
    const above = [...links.keys()].filter((host) => fleet.get(host)?.zone === settings.zone);
    const cutOff = above.length > 0 && !above.some((host) => linkTable.has(host));
    const hosts = [...children, ...(cutOff ? above : [])];
    return new Set(
      hosts.filter((host) => {
        const held = fleet.get(host);
        return held !== undefined && isPresent(held);
      }),
    );
  }

  private async examine(host: string): Promise<void> {
    const { fleet, peerDialer, timeline } = this.services;
    const held = fleet.get(host);
    if (held === undefined) {
      return;
    }
    const peer = { address: held.address, port: held.peerPort };
    const probed = await peerDialer.probe(peer, host, PROBE_TIMEOUT_MS);
    this.missingSinceMs.delete(host);
    if (probed.isErr()) {
      timeline.record(EventKind.HostLost, { peer: host, detail: probed.error });
      const lost = { ...held, state: HostState.LOST, backendServers: [] };
      fleet.merge(create(AnnouncementSchema, lost));
    }
  }
}
