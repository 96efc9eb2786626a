/** Wires the plug-ins of one node together, starts them in order and stops them in reverse. */
import { setMaxListeners } from 'node:events';
import { asValue, createContainer, InjectionMode } from 'awilix';
import type { AwilixContainer } from 'awilix';
import type { Clock } from './clock.js';
import { Deadline } from './deadline.js';
import { Identity } from './identity.js';
import type { Plugin } from './plugin.js';
import { plugins } from './plugin.js';
import { loadPlugins } from './pluginLoader.js';
import type { Services } from './services.js';

/** What a kernel is given from outside: the kernel's own services and any replacements. */
export type KernelOptions = Pick<Services, 'clock' | 'logger' | 'randomness' | 'settings'> & {
  /** Services to use in place of those the plug-ins offer, for tests and embedding. */
  readonly replacements?: Partial<Services>;
};

/** One running node. */
export class Kernel {
  private readonly container: AwilixContainer<Services>;

  private readonly ordered: readonly Plugin[];

  private readonly stopping = new AbortController();

  private stopped: Promise<void> | undefined;

  private constructor(options: KernelOptions) {
    // Every background task listens for the stop.
    setMaxListeners(0, this.stopping.signal);
    const { replacements, ...provided } = options;
    this.ordered = plugins.inStartOrder();
    this.container = createContainer<Services>({ injectionMode: InjectionMode.PROXY });
    this.ordered.forEach((plugin) => this.container.register({ ...plugin.services }));
    const values: Partial<Services> = {
      ...provided,
      identity: new Identity(provided),
      ...replacements,
      stopping: this.stopping.signal,
    };
    Object.entries(values).forEach(([name, value]) =>
      this.container.register(name, asValue(value)),
    );
  }

  /**
   * Loads the library's plug-ins and prepares a kernel; nothing runs yet.
   *
   * @param options - the kernel's services and replacements of others
   * @returns the kernel
   */
  static async create(options: KernelOptions): Promise<Kernel> {
    await loadPlugins();
    return new Kernel(options);
  }

  /** The services of this node. */
  get services(): Services {
    return this.container.cradle;
  }

  private get clock(): Clock {
    return this.services.clock;
  }

  /** Starts every plug-in after those it needs. */
  async start(): Promise<void> {
    for (const plugin of this.ordered) {
      await plugin.start?.(this.services);
    }
  }

  /**
   * Stops gracefully: first every plug-in takes no new work, then each finishes, in reverse order.
   *
   * @param drainMs - how long work in flight may take, in milliseconds
   */
  stop(drainMs: number): Promise<void> {
    this.stopped ??= this.leaveAndStop(Deadline.after(this.clock, drainMs));
    return this.stopped;
  }

  private async leaveAndStop(deadline: Deadline): Promise<void> {
    const reversed = [...this.ordered].reverse();
    for (const plugin of reversed) {
      await plugin.leave?.(this.services);
    }
    this.stopping.abort();
    for (const plugin of reversed) {
      await plugin.stop?.(this.services, deadline);
    }
  }
}
