/** Runs a node as the main task of a process, until a signal stops it. */
import { once } from 'node:events';
import type { Settings } from 'lentillb';
import { InvariantError } from 'lentillb';
import { RunningNode } from './runningNode.js';

const EXIT_CODE_FAILURE = 1;

/**
 * Runs a node until SIGTERM or SIGINT, then stops it gracefully.
 *
 * @param settings - the validated settings of the node
 */
export async function runDaemon(settings: Settings): Promise<void> {
  const node = await RunningNode.start(settings);
  const { logger, settings: effectiveSettings } = node.services;
  const stop = new AbortController();
  // Handled each time, because without a handler a repeated signal ends the process at once.
  process.on('SIGTERM', () => stop.abort());
  process.on('SIGINT', () => stop.abort());
  process.on('uncaughtException', (error) => {
    logger.fatal({ err: error }, 'uncaught exception; exiting');
    // eslint-disable-next-line n/no-process-exit -- the state of the process may be invalid
    process.exit(EXIT_CODE_FAILURE);
  });
  process.on('unhandledRejection', (error) => {
    logger.error({ err: error }, 'unhandled promise rejection');
    if (error instanceof InvariantError) {
      // eslint-disable-next-line n/no-process-exit -- the state of the process may be invalid
      process.exit(EXIT_CODE_FAILURE);
    }
  });
  await node.waitUntilReady(stop.signal);
  if (!stop.signal.aborted) {
    logger.info({ ports: node.ports }, 'node is running');
    await once(stop.signal, 'abort');
  }
  logger.info({ drainMs: effectiveSettings.drainMs }, 'stopping gracefully');
  await node.stop();
  logger.info('stopped');
}
