/** Sends counters and timings to StatsD. */
import { StatsD } from 'hot-shots';
import type { Services } from '../kernel/services.js';

/** The names and values of the tags of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends metrics to the StatsD address of the settings; sends nothing if the address is empty. */
export class Metrics {
  private readonly client: StatsD | undefined;

  constructor({ logger, settings }: Pick<Services, 'logger' | 'settings'>) {
    if (settings.statsd === '') {
      return;
    }
    const separator = settings.statsd.lastIndexOf(':');
    this.client = new StatsD({
      host: settings.statsd.slice(0, separator),
      port: Number(settings.statsd.slice(separator + 1)),
      prefix: 'lentillb.',
      globalTags: { host: settings.host, zone: settings.zone },
      errorHandler: (error) => logger.debug({ err: error }, 'could not send a metric to StatsD'),
    });
  }

  /**
   * @param name - the counter to increment by one
   * @param tags - the tags of the metric
   */
  count(name: string, tags: MetricTags = {}): void {
    this.client?.increment(name, { ...tags });
  }

  /**
   * @param name - the name of the timing
   * @param durationMs - the duration, in milliseconds
   */
  timing(name: string, durationMs: number): void {
    this.client?.timing(name, durationMs);
  }

  /** Sends the buffered metrics and closes the socket. */
  async close(): Promise<void> {
    const { client } = this;
    if (client !== undefined) {
      await new Promise<void>((resolve) => {
        client.close(() => resolve());
      });
    }
  }
}
