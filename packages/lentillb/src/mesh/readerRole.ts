/** Reads the log while the topology gives this node the reader role. */
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';

type Needs = Pick<Services, 'logFollower' | 'presence' | 'timeline' | 'topologyView'>;

/** Starts and ends the reading of the log. */
export class ReaderRole {
  private readAbortController: AbortController | undefined;

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** Whether this node reads the log now. */
  get held(): boolean {
    return this.readAbortController !== undefined;
  }

  /** Takes the role or gives it up, as the topology says. */
  update(): void {
    const { logFollower, presence, timeline, topologyView } = this.services;
    const wanted = topologyView.current.reader && presence.joined;
    if (wanted && this.readAbortController === undefined) {
      this.readAbortController = new AbortController();
      timeline.record(EventKind.ReaderRoleTaken);
      logFollower.follow(this.readAbortController.signal);
    } else if (!wanted && this.readAbortController !== undefined) {
      this.release();
    }
  }

  /** Ends the reading, if any. */
  release(): void {
    if (this.readAbortController !== undefined) {
      this.readAbortController.abort();
      this.readAbortController = undefined;
      this.services.timeline.record(EventKind.ReaderRoleGivenUp);
    }
  }
}
