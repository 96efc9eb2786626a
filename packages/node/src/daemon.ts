/** Runs a node as the main task of a process, until a signal stops it. */
import { once } from 'node:events';
import type { Settings } from 'lentillb';
import { startProcess } from 'lentillb/process';
import type { StartedProcess } from 'lentillb/process';
import { RunningNode } from './runningNode.js';

/**
 * Runs a node until SIGTERM or SIGINT, then stops it gracefully. Either signal ends the process at
 * once while the node starts.
 *
 * @param settings - the validated settings of the node
 * @param startedProcess - the parts of the process that exist already, if it has any
 */
export async function runDaemon(
  settings: Settings,
  { directLog, end, signals }: StartedProcess = startProcess('lentillb'),
): Promise<void> {
  directLog.identify({ host: settings.host, zone: settings.zone });
  const node = await RunningNode.start(settings);
  const { logger, settings: effectiveSettings } = node.services;
  const stop = new AbortController();
  signals.react({
    stop: () => stop.abort(),
    reload: () => logger.info('settings are read at a start only; restart the node to change them'),
    ignore: (signal) => logger.info({ signal }, 'signal without a meaning'),
  });
  await node.waitUntilReady(stop.signal);
  if (!stop.signal.aborted) {
    logger.info({ ports: node.ports }, 'node is running');
    await once(stop.signal, 'abort');
  }
  logger.info({ drainMs: effectiveSettings.drainMs }, 'stopping gracefully');
  await node.stop();
  end.expect();
  logger.info('stopped');
}
