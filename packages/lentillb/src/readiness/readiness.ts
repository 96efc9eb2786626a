/** Takes calls only once this node can answer them: it holds a configuration and knows the fleet. */
import type { Services } from '../kernel/services.js';

const POLL_MS = 20;
/** After this long with a configuration, an incomplete view of the fleet has to do. */
const VIEW_TIMEOUT_MS = 8_000;

type Needs = Pick<
  Services,
  'announcer' | 'callListener' | 'clock' | 'linkTable' | 'logger' | 'presence' | 'versionStore'
>;

/** Opens the call port when the node is ready. */
export class Readiness {
  private opened = false;

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** Whether callers are taken. */
  get ready(): boolean {
    return this.opened;
  }

  /**
   * Waits until the node is ready, then takes callers.
   *
   * @param signal - ends the wait
   */
  async run(signal: AbortSignal): Promise<void> {
    const { announcer, callListener, clock, logger } = this.services;
    let configuredAtMs: number | undefined;
    while (!signal.aborted) {
      if (this.services.versionStore.state !== undefined) {
        configuredAtMs ??= clock.monotonicMs();
        const waitedMs = clock.monotonicMs() - configuredAtMs;
        if (this.knowsFleet() || waitedMs >= VIEW_TIMEOUT_MS) {
          break;
        }
      }
      await clock.sleep(POLL_MS, signal);
    }
    if (!signal.aborted) {
      await callListener.listen();
      announcer.announcePorts();
      this.opened = true;
      logger.info({ callPort: announcer.ports.callPort }, 'taking calls');
    }
  }

  /** Whether a peer holds the same announcements, or there is nobody else. */
  private knowsFleet(): boolean {
    const { linkTable, presence } = this.services;
    const peers = linkTable.open().filter(({ host }) => host !== undefined);
    const alone = peers.length === 0 && !presence.knowsOthers;
    return presence.joined && (alone || peers.some(({ inStep }) => inStep));
  }
}
