/**
 * Connects the plug-ins of a node, starts them in order of dependency and stops them in reverse.
 */
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

/** The services that a kernel is created with: its own services and optional replacements. */
export type KernelOptions = Pick<Services, 'clock' | 'logger' | 'randomness' | 'settings'> & {
  /** Services to use in place of those of the plug-ins, for tests and embedding. */
  readonly replacements?: Partial<Services>;
};

/** Runs the plug-ins of one node. */
export class Kernel {
  private readonly container: AwilixContainer<Services>;

  private readonly ordered: readonly Plugin[];

  private readonly stopping = new AbortController();

  private stopped: Promise<void> | undefined;

  private constructor(options: KernelOptions) {
    // Every background task adds a listener for the stop.
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
   * Loads the plug-ins of the library and creates a kernel without starting it.
   *
   * @param options - the services of the kernel and replacements of others
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
   * Stops gracefully: first every plug-in stops accepting new work, then each completes its work in
   * flight, in reverse order.
   *
   * @param drainMs - the maximum time for work in flight, in milliseconds
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
