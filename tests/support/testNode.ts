/** Starts nodes in the process of a test. */
import { createLogger } from 'bunyan';
import { RunningNode } from '@lentillb/node';
import type { NodeOptions } from '@lentillb/node';
import type { GivenSettings, Settings } from 'lentillb';
import { readSettings } from 'lentillb';

const FREE_PORTS = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0, localPort: 0 };

/** A logger that discards all log lines. */
export const silentLogger = createLogger({ name: 'test', streams: [] });

/**
 * @param given - the settings that differ from the defaults of the tests
 * @returns validated settings with free ports
 */
export function testSettings(given: GivenSettings = {}): Settings {
  const usual = { host: 'host-1', zone: 'zone-a', logUrl: 'http://127.0.0.1:9', seed: 1 };
  return readSettings({ ...usual, ...FREE_PORTS, ...given }, {}).unwrap();
}

/**
 * @param given - the settings that differ from the defaults of the tests
 * @param options - replacements of the default services of a node
 * @returns a running node
 */
export async function startTestNode(
  given: GivenSettings,
  options: NodeOptions = {},
): Promise<RunningNode> {
  return RunningNode.start(testSettings(given), { logger: silentLogger, ...options });
}

/**
 * Polls a condition until it holds. The number of polls is limited, so that a hanging test ends.
 *
 * @param condition - the condition to wait for
 * @param what - the description of the condition, for the error message
 */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  what: string,
): Promise<void> {
  const POLL_INTERVAL_MS = 10;
  const MAX_POLLS = 2_000;
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    if (await condition()) {
      return;
    }
    await new Promise<void>((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
  throw new Error(`still waiting for: ${what}`);
}
