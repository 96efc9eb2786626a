/** Reads the log while the topology assigns the reader role to this node. */
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';

type Dependencies = Pick<Services, 'logFollower' | 'presence' | 'timeline' | 'topologyView'>;

/** Takes and releases the reader role of this node. */
export class LogReaderRole {
  private readAbortController: AbortController | undefined;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** Whether this node currently reads the log. */
  get held(): boolean {
    return this.readAbortController !== undefined;
  }

  /** Takes or releases the role according to the topology, once the node has joined the fleet. */
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

  /** Stops reading the log if this node holds the role. */
  release(): void {
    if (this.readAbortController !== undefined) {
      this.readAbortController.abort();
      this.readAbortController = undefined;
      this.services.timeline.record(EventKind.ReaderRoleGivenUp);
    }
  }
}
