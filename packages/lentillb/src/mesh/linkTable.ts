/** All links that are open now, and what is passed on over them. */
import type { Announcement } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';
import type { PeerLink } from './peerLink.js';
import { LinkEnd } from './peerLink.js';

/** News within this time is told in one heartbeat, in milliseconds. */
const NEWS_DELAY_MS = 10;
/** The end of a link that leaves telling to the other end waits this long, in milliseconds. */
const LATE_NEWS_DELAY_MS = 500;

const endEvents = {
  [LinkEnd.Closed]: EventKind.PeerLost,
  [LinkEnd.Broken]: EventKind.PeerLost,
  [LinkEnd.Slow]: EventKind.PeerLost,
  [LinkEnd.Silent]: EventKind.PeerSilent,
} as const;

/** The open links of this node. */
export class LinkTable {
  private readonly links = new Set<PeerLink>();

  private newsPending = false;

  private lateNewsPending = false;

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
    return this.open().reduce((newest, { through }) => Math.max(newest, through), -1);
  }

  /** @param link - a link that is about to run */
  add(link: PeerLink): void {
    this.links.add(link);
  }

  /**
   * Takes out a link that has ended.
   *
   * @param link - the link
   * @param end - why it ended
   */
  remove(link: PeerLink, end: LinkEnd): void {
    this.links.delete(link);
    if (link.host !== undefined) {
      this.services.timeline.record(endEvents[end], { peer: link.host, detail: end });
    }
    this.tellNews();
  }

  /** Passes new records on, and tells the others that there are some. */
  passRecords(): void {
    this.links.forEach((link) => link.passRecords());
    this.tellNews();
  }

  /** @param announcement - an announcement that was new to this node */
  passAnnouncement(announcement: Announcement): void {
    this.links.forEach((link) => link.passAnnouncement(announcement));
  }

  /** Sends heartbeats soon to those for whom they hold something new. */
  tellNews(): void {
    const { clock } = this.services;
    if (!this.newsPending) {
      this.newsPending = true;
      clock.after(NEWS_DELAY_MS, () => {
        this.newsPending = false;
        this.tell(true);
      });
    }
    if (!this.lateNewsPending) {
      this.lateNewsPending = true;
      clock.after(LATE_NEWS_DELAY_MS, () => {
        this.lateNewsPending = false;
        this.tell(false);
      });
    }
  }

  private tell(prompt: boolean): void {
    this.links.forEach((link) => {
      if (link.prompt === prompt) {
        link.sendNews();
      }
    });
  }
}
