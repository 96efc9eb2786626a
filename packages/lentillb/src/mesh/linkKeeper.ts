/** Maintains the links that the topology assigns to this node, with one task per peer. */
import type { Announcement } from '@lentillb/protocol';
import { LinkRole } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { LinkPurpose } from '../membership/topology.js';
import type { Topology } from '../membership/topology.js';
import { EventKind } from '../timeline/event.js';
import { Backoff } from '../utils/backoff.js';
import type { PeerAddress } from './peerDialer.js';
import { LinkSide, PeerLink } from './peerLink.js';

const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5_000;

const linkRoles: Record<LinkPurpose, LinkRole> = {
  [LinkPurpose.Parent]: LinkRole.PARENT,
  [LinkPurpose.Backup]: LinkRole.BACKUP,
  [LinkPurpose.Zone]: LinkRole.ZONE,
};

type Dependencies = Pick<
  Services,
  | 'clock'
  | 'convergence'
  | 'fleet'
  | 'identity'
  | 'linkTable'
  | 'peerDialer'
  | 'randomness'
  | 'settings'
  | 'timeline'
  | 'versionStore'
>;

interface MaintainedLink {
  readonly link: LinkPurpose;
  readonly abortController: AbortController;
  readonly task: Promise<void>;
}

function addressOf({ address, peerPort }: Announcement): PeerAddress {
  return { address, port: peerPort };
}

/** Opens links, and reopens them with a backoff after they close. */
export class LinkKeeper {
  private readonly maintainedLinks = new Map<string, MaintainedLink>();

  private stopped = false;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /**
   * Opens the links of a topology, and closes links that it no longer contains.
   *
   * @param topology - the role and links of this node
   */
  apply({ links }: Topology): void {
    if (this.stopped) {
      return;
    }
    this.maintainedLinks.forEach(({ link, abortController }, host) => {
      if (links.get(host) !== link) {
        abortController.abort();
        this.maintainedLinks.delete(host);
      }
    });
    links.forEach((link, host) => {
      if (!this.maintainedLinks.has(host)) {
        const abortController = new AbortController();
        const task = this.maintainLink(host, linkRoles[link], abortController.signal);
        this.maintainedLinks.set(host, { link, abortController, task });
      }
    });
  }

  /**
   * Opens a link outside the topology, to exchange announcements and records with another node.
   *
   * @param peer - the address where the node listens
   * @param signal - closes the link when aborted
   * @returns whether the other node sent a hello
   */
  async openTemporaryLink(peer: PeerAddress, signal: AbortSignal): Promise<boolean> {
    return this.runLink(peer, LinkRole.BACKUP, signal);
  }

  /** Closes all links of the topology, and opens no others. */
  async close(): Promise<void> {
    this.stopped = true;
    const tasks = [...this.maintainedLinks.values()].map(({ abortController, task }) => {
      abortController.abort();
      return task;
    });
    await Promise.all(tasks);
  }

  private async maintainLink(host: string, role: LinkRole, signal: AbortSignal): Promise<void> {
    const { clock, fleet, randomness } = this.services;
    const backoff = new Backoff(randomness, MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    while (!signal.aborted) {
      const announcement = fleet.get(host);
      if (
        announcement !== undefined &&
        (await this.runLink(addressOf(announcement), role, signal))
      ) {
        backoff.reset();
      }
      await clock.sleep(backoff.nextMs(), signal);
    }
  }

  private async runLink(peer: PeerAddress, role: LinkRole, signal: AbortSignal): Promise<boolean> {
    const { linkTable, peerDialer, timeline } = this.services;
    const link = new PeerLink(this.services, { side: LinkSide.Opened, role });
    linkTable.add(link);
    const inbound = peerDialer.open(peer, link.outbound, link.closeSignal);
    const closeReason = await link.run(inbound, signal);
    linkTable.remove(link, closeReason);
    const helloReceived = link.host !== undefined;
    if (!helloReceived) {
      const detail = `no answer from ${peer.address}:${peer.port}: ${closeReason}`;
      timeline.record(EventKind.PeerLost, { detail });
    }
    return helloReceived;
  }
}
