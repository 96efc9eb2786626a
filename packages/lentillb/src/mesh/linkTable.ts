/** Keeps all open links, and forwards records, announcements and heartbeats over them. */
import type { Announcement } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';
import type { PeerLink } from './peerLink.js';
import { LinkCloseReason } from './peerLink.js';

/** The delay of a changed heartbeat, in milliseconds, to combine several changes in one. */
const CHANGE_DELAY_MS = 10;
/** The same delay at the end of a link that lets the other end send first, in milliseconds. */
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
   * @param host - the name of a host
   * @returns whether a link to this host is open
   */
  has(host: string): boolean {
    return this.open().some((link) => link.host === host);
  }

  /** @returns the highest record offset of any peer; -1 if no peer has a record */
  highestRecordOffset(): number {
    return this.open().reduce((highest, { recordOffset }) => Math.max(highest, recordOffset), -1);
  }

  /**
   * Adds a link before it runs.
   *
   * @param link - the link
   */
  add(link: PeerLink): void {
    this.links.add(link);
  }

  /**
   * Removes a closed link, and records the loss of the peer in the timeline.
   *
   * @param link - the link
   * @param reason - the reason why it was closed
   */
  remove(link: PeerLink, reason: LinkCloseReason): void {
    this.links.delete(link);
    if (link.host !== undefined) {
      this.services.timeline.record(closeReasonEvents[reason], { peer: link.host, detail: reason });
    }
    this.scheduleChangedHeartbeats();
  }

  /** Sends new records to children, and schedules heartbeats that report them to other peers. */
  forwardRecords(): void {
    this.links.forEach((link) => link.forwardRecords());
    this.scheduleChangedHeartbeats();
  }

  /**
   * Forwards an announcement over all links that carry announcements.
   *
   * @param announcement - an announcement that was new to this node
   */
  forwardAnnouncement(announcement: Announcement): void {
    this.links.forEach((link) => link.forwardAnnouncement(announcement));
  }

  /** Schedules a heartbeat on every link where its content has changed. */
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
