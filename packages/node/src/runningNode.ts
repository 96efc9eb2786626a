/** Starts and stops a node inside the current process. */
import { createLogger } from 'bunyan';
import type Logger from 'bunyan';
import type { Clock, Randomness, Services, Settings } from 'lentillb';
import { Kernel, SeededRandomness, SystemClock } from 'lentillb';

/** Replacements for the default dependencies of a node. */
export interface NodeOptions {
  readonly clock?: Clock;
  readonly randomness?: Randomness;
  readonly logger?: Logger;
  /** Services that replace those of the plug-ins. */
  readonly replacements?: Partial<Services>;
}

/** The ports on which a node listens. */
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
   * Starts a node. Returns once all of its listeners are listening.
   *
   * @param settings - the validated settings of the node
   * @param options - replacements for its default dependencies
   * @returns the running node
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

  /** The ports on which the node listens. */
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
   * Waits until the node is ready to accept calls.
   *
   * @param signal - aborts the wait
   */
  async waitUntilReady(signal?: AbortSignal): Promise<void> {
    const { clock, readiness } = this.services;
    while (!readiness.ready && signal?.aborted !== true) {
      await clock.sleep(READY_POLL_MS, signal);
    }
  }

  /** Stops gracefully: calls in flight may finish within the drain time of the settings. */
  async stop(): Promise<void> {
    await this.kernel.stop(this.settings.drainMs);
  }
}
