/** Counters and timings, sent to StatsD where an address is set. */
import { StatsD } from 'hot-shots';
import type { Services } from '../kernel/services.js';

/** Names and values that a metric is split by. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sends metrics, or nothing. */
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
      errorHandler: (error) => logger.debug({ err: error }, 'metric not sent'),
    });
  }

  /**
   * @param name - the counter to raise by one
   * @param tags - what it is split by
   */
  count(name: string, tags: MetricTags = {}): void {
    this.client?.increment(name, { ...tags });
  }

  /**
   * @param name - the timing
   * @param durationMs - how long it took, in milliseconds
   */
  timing(name: string, durationMs: number): void {
    this.client?.timing(name, durationMs);
  }

  /** Sends what is waiting and closes the socket. */
  async close(): Promise<void> {
    const { client } = this;
    if (client !== undefined) {
      await new Promise<void>((resolve) => {
        client.close(() => resolve());
      });
    }
  }
}
