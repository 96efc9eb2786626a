import { Agent } from 'node:http';
import { SystemClock } from 'lentillb';
import { ExchangeFailure } from 'lentillb/serving/exchange.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { sendRequest } from '../support/sendRequest.js';
import type { EndlessAnswer } from '../support/endlessServer.js';
import { endlessAnswers, EndlessServer } from '../support/endlessServer.js';

const TIMEOUT_MS = 5_000;
const MAX_ABANDON_MS = 1_500;
/** The number of requests that a backend server of the platform runs concurrently. */
const SLOTS = 18;
/** The memory of the smallest host, less that of a node without load. */
const SPARE_MEMORY_BYTES = 96 * 1024 * 1024;

const clock = new SystemClock();
let agent: Agent;
let servers: EndlessServer[];

beforeEach(() => {
  servers = [];
  agent = new Agent({ keepAlive: true });
});

afterEach(() => {
  agent.destroy();
  servers.forEach((server) => server.close());
});

/** Starts a server that sends the given endless answer. */
async function start(answer: EndlessAnswer) {
  const server = new EndlessServer(answer);
  servers.push(server);
  const address = await server.listen();
  return { server, ask: () => sendRequest(address, { agent, timeoutMs: TIMEOUT_MS }) };
}

describe('endless answer', () => {
  it.each(Object.entries(endlessAnswers))(
    'should be abandoned, and its connection closed: %s',
    async (_, answer) => {
      const endless = await start(answer);
      const startedMs = clock.monotonicMs();
      const result = await endless.ask();
      expect(clock.monotonicMs() - startedMs).toBeLessThan(MAX_ABANDON_MS);
      expect(result.unwrapErr()).toBe(ExchangeFailure.Malformed);
      await clock.sleep(100);
      expect(endless.server.openResponses).toBe(0);
    },
  );

  it('should not exhaust the memory of a host when every slot receives one', async () => {
    const endless = await start(endlessAnswers['a body of a huge length']!);
    const bytesBefore = process.memoryUsage().arrayBuffers;
    let peakBytes = 0;
    const observer = setInterval(() => {
      peakBytes = Math.max(peakBytes, process.memoryUsage().arrayBuffers - bytesBefore);
    }, 5);
    const results = await Promise.all(Array.from({ length: SLOTS }, endless.ask));
    clearInterval(observer);
    expect(results.map((result) => result.isErr())).toEqual(Array<boolean>(SLOTS).fill(true));
    expect(peakBytes).toBeLessThan(SPARE_MEMORY_BYTES);
  });
});
