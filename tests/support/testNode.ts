/** Nodes in the process of a test. */
import { createLogger } from 'bunyan';
import { RunningNode } from '@lentillb/node';
import type { NodeOptions } from '@lentillb/node';
import type { GivenSettings, Settings } from 'lentillb';
import { readSettings } from 'lentillb';

const FREE_PORTS = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0, localPort: 0 };

/** Writes nothing. */
export const silentLogger = createLogger({ name: 'test', streams: [] });

/**
 * @param given - settings that differ from those usual in tests
 * @returns checked settings on free ports
 */
export function testSettings(given: GivenSettings = {}): Settings {
  const usual = { host: 'host-1', zone: 'zone-a', logUrl: 'http://127.0.0.1:9', seed: 1 };
  return readSettings({ ...usual, ...FREE_PORTS, ...given }, {}).unwrap();
}

/**
 * @param given - settings that differ from those usual in tests
 * @param options - what to use in place of the machine's own
 * @returns a running node
 */
export async function startTestNode(
  given: GivenSettings,
  options: NodeOptions = {},
): Promise<RunningNode> {
  return RunningNode.start(testSettings(given), { logger: silentLogger, ...options });
}

/**
 * Waits for a condition by looking often; the bound is there to end a hanging test.
 *
 * @param condition - what to wait for
 * @param what - its name, for the message
 */
export async function waitFor(
  condition: () => boolean | Promise<boolean>,
  what: string,
): Promise<void> {
  const POLL_MS = 10;
  const MAX_POLLS = 2_000;
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    if (await condition()) {
      return;
    }
    await new Promise<void>((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
  throw new Error(`still waiting for: ${what}`);
}
