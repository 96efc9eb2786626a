/** Accepts calls only when this node has a configuration and a complete view of the fleet. */
import type { Services } from '../kernel/services.js';

const POLL_INTERVAL_MS = 20;
/** Limits how long a node with a configuration waits for a complete view of the fleet. */
const FLEET_VIEW_TIMEOUT_MS = 8_000;

type Dependencies = Pick<
  Services,
  'announcer' | 'callListener' | 'clock' | 'linkTable' | 'logger' | 'presence' | 'versionStore'
>;

/** Opens the call port when the node is ready. */
export class Readiness {
  private callPortOpen = false;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** Returns whether the call port is open. */
  get ready(): boolean {
    return this.callPortOpen;
  }

  /**
   * Waits until the node is ready, then opens the call port.
   *
   * @param signal - cancels the wait
   */
  async run(signal: AbortSignal): Promise<void> {
    const { announcer, callListener, clock, logger } = this.services;
    let configuredAtMs: number | undefined;
    while (!signal.aborted) {
      if (this.services.versionStore.state !== undefined) {
        configuredAtMs ??= clock.monotonicMs();
        const waitedMs = clock.monotonicMs() - configuredAtMs;
        if (this.hasFleetView() || waitedMs >= FLEET_VIEW_TIMEOUT_MS) {
          break;
        }
      }
      await clock.sleep(POLL_INTERVAL_MS, signal);
    }
    if (!signal.aborted) {
      await callListener.listen();
      announcer.announcePorts();
      this.callPortOpen = true;
      logger.info({ callPort: announcer.ports.callPort }, 'accepting calls');
    }
  }

  /** Returns whether a peer holds the same announcements, or this is the only node of the fleet. */
  private hasFleetView(): boolean {
    const { linkTable, presence } = this.services;
    const peers = linkTable.open().filter(({ host }) => host !== undefined);
    const alone = peers.length === 0 && !presence.knowsOtherHosts;
    return presence.joined && (alone || peers.some(({ announcementsMatch }) => announcementsMatch));
  }
}
