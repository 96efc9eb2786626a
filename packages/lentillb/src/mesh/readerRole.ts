/** Reads the log while the topology gives this node the reader role. */
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';

type Needs = Pick<Services, 'logFollower' | 'presence' | 'timeline' | 'topologyView'>;

/** Starts and ends the reading of the log. */
export class ReaderRole {
  private reading: AbortController | undefined;

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** Whether this node reads the log now. */
  get held(): boolean {
    return this.reading !== undefined;
  }

  /** Takes the role or gives it up, as the topology says. */
  review(): void {
    const { logFollower, presence, timeline, topologyView } = this.services;
    const wanted = topologyView.current.reader && presence.joined;
    if (wanted && this.reading === undefined) {
      this.reading = new AbortController();
      timeline.record(EventKind.ReaderRoleTaken);
      logFollower.follow(this.reading.signal);
    } else if (!wanted && this.reading !== undefined) {
      this.giveUp();
    }
  }

  /** Ends the reading, if any. */
  giveUp(): void {
    if (this.reading !== undefined) {
      this.reading.abort();
      this.reading = undefined;
      this.services.timeline.record(EventKind.ReaderRoleGivenUp);
    }
  }
}
