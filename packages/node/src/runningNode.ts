/** One node, started and ready to be stopped. */
import { createLogger } from 'bunyan';
import type Logger from 'bunyan';
import type { Clock, Randomness, Services, Settings } from 'lentillb';
import { Kernel, SeededRandomness, SystemClock } from 'lentillb';

/** What a node can be given in place of the machine's own. */
export interface NodeOptions {
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  readonly logger?: Logger;
  /** Services in place of those of the plug-ins. */
  readonly replacements?: Partial<Services>;
}

/** Where a node listens. */
export interface NodePorts {
  readonly callPort: number;
  readonly gatePort: number;
  readonly peerPort: number;
  readonly adminPort: number;
  readonly localPort: number;
}

const READY_POLL_MS = 20;

/** A node that runs in this process. */
export class RunningNode {
  private constructor(
    private readonly kernel: Kernel,
    private readonly settings: Settings,
  ) {}

  /**
   * Starts a node.
   *
   * @param settings - its checked settings
   * @param options - what to use in place of the machine's own
   * @returns the node, once all its listeners listen
   */
  static async start(settings: Settings, options: NodeOptions = {}): Promise<RunningNode> {
    const { clock = new SystemClock(), replacements } = options;
    const seed = settings.seed === 0 ? clock.now().getTime() : settings.seed;
    const randomness = options.randomness ?? new SeededRandomness(seed % 2 ** 31);
    const { host, zone, logLevel: level } = settings;
    const logger = options.logger ?? createLogger({ name: 'lentillb', host, zone, level });
    const kernel = await Kernel.create({ clock, logger, randomness, settings, replacements });
    await kernel.start();
    return new RunningNode(kernel, settings);
  }

  /** The services of the node. */
  get services(): Services {
    return this.kernel.services;
  }

  /** Where the node listens. */
  get ports(): NodePorts {
    const { announcer, localListener } = this.services;
    return { ...announcer.ports, localPort: localListener.port };
  }

  /** The base URL of the administration API. */
  get adminUrl(): string {
    return `http://${this.settings.address}:${this.ports.adminPort}`;
  }

  /** The base URL for callers. */
  get callUrl(): string {
    return `http://${this.settings.address}:${this.ports.callPort}`;
  }

  /**
   * Waits until callers are taken.
   *
   * @param signal - ends the wait
   */
  async untilReady(signal?: AbortSignal): Promise<void> {
    const { clock, readiness } = this.services;
    while (!readiness.ready && signal?.aborted !== true) {
      await clock.sleep(READY_POLL_MS, signal);
    }
  }

  /** Stops gracefully: nothing in flight is cut within the drain time of the settings. */
  async stop(): Promise<void> {
    await this.kernel.stop(this.settings.drainMs);
  }
}
