/** All links that are open now, and what is passed on over them. */
import type { Announcement } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';
import type { PeerLink } from './peerLink.js';
import { LinkCloseReason } from './peerLink.js';

/** News within this time is told in one heartbeat, in milliseconds. */
const CHANGE_DELAY_MS = 10;
/** The end of a link that leaves telling to the other end waits this long, in milliseconds. */
const DEFERRED_CHANGE_DELAY_MS = 500;

const closeReasonEvents = {
  [LinkCloseReason.Closed]: EventKind.PeerLost,
  [LinkCloseReason.Broken]: EventKind.PeerLost,
  [LinkCloseReason.Slow]: EventKind.PeerLost,
  [LinkCloseReason.Silent]: EventKind.PeerSilent,
} as const;

/** The open links of this node. */
export class LinkTable {
  private readonly links = new Set<PeerLink>();

  private heartbeatsPending = false;

  private deferredHeartbeatsPending = false;

  private readonly services: Pick<Services, 'clock' | 'timeline'>;

  constructor(services: Pick<Services, 'clock' | 'timeline'>) {
    this.services = services;
  }

  /** @returns the open links */
  open(): readonly PeerLink[] {
    return [...this.links];
  }

  /**
   * @param host - a host
   * @returns whether a link to it is open
   */
  has(host: string): boolean {
    return this.open().some((link) => link.host === host);
  }

  /** @returns the highest record offset that any peer has; -1 where none has any */
  newestThrough(): number {
    return this.open().reduce((highest, { recordOffset }) => Math.max(highest, recordOffset), -1);
  }

  /** @param link - a link that is about to run */
  add(link: PeerLink): void {
    this.links.add(link);
  }

  /**
   * Takes out a link that has ended.
   *
   * @param link - the link
   * @param reason - why it ended
   */
  remove(link: PeerLink, reason: LinkCloseReason): void {
    this.links.delete(link);
    if (link.host !== undefined) {
      this.services.timeline.record(closeReasonEvents[reason], { peer: link.host, detail: reason });
    }
    this.scheduleChangedHeartbeats();
  }

  /** Passes new records on, and tells the others that there are some. */
  forwardRecords(): void {
    this.links.forEach((link) => link.forwardRecords());
    this.scheduleChangedHeartbeats();
  }

  /** @param announcement - an announcement that was new to this node */
  forwardAnnouncement(announcement: Announcement): void {
    this.links.forEach((link) => link.forwardAnnouncement(announcement));
  }

  /** Sends heartbeats soon to those for whom they hold something new. */
  scheduleChangedHeartbeats(): void {
    const { clock } = this.services;
    if (!this.heartbeatsPending) {
      this.heartbeatsPending = true;
      clock.after(CHANGE_DELAY_MS, () => {
        this.heartbeatsPending = false;
        this.sendChangedHeartbeats(true);
      });
    }
    if (!this.deferredHeartbeatsPending) {
      this.deferredHeartbeatsPending = true;
      clock.after(DEFERRED_CHANGE_DELAY_MS, () => {
        this.deferredHeartbeatsPending = false;
        this.sendChangedHeartbeats(false);
      });
    }
  }

  private sendChangedHeartbeats(first: boolean): void {
    this.links.forEach((link) => {
      if (link.sendsChangesFirst === first) {
        link.sendHeartbeatIfChanged();
      }
    });
  }
}
