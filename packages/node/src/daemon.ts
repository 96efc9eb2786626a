/** Runs a node as a process of its own, until it is told to stop. */
import { once } from 'node:events';
import type { Settings } from 'lentillb';
import { InvariantError } from 'lentillb';
import { RunningNode } from './runningNode.js';

const EXIT_FAILURE = 1;

/**
 * Runs a node until SIGTERM or SIGINT, then stops it gracefully.
 *
 * @param settings - its checked settings
 */
export async function runDaemon(settings: Settings): Promise<void> {
  const node = await RunningNode.start(settings);
  const { logger, settings: kept } = node.services;
  const stop = new AbortController();
  process.once('SIGTERM', () => stop.abort());
  process.once('SIGINT', () => stop.abort());
  process.on('uncaughtException', (error) => {
    logger.fatal({ err: error }, 'stopping at once');
    // eslint-disable-next-line n/no-process-exit -- nothing this process still does can be trusted
    process.exit(EXIT_FAILURE);
  });
  process.on('unhandledRejection', (error) => {
    logger.error({ err: error }, 'a task ended with an error');
    if (error instanceof InvariantError) {
      // eslint-disable-next-line n/no-process-exit -- nothing this process still does can be trusted
      process.exit(EXIT_FAILURE);
    }
  });
  await node.untilReady(stop.signal);
  if (!stop.signal.aborted) {
    logger.info({ ports: node.ports }, 'node is running');
    await once(stop.signal, 'abort');
  }
  logger.info({ drainMs: kept.drainMs }, 'stopping gracefully');
  await node.stop();
  logger.info('stopped');
}
