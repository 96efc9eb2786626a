import { Agent } from 'node:http';
import { SystemClock } from 'lentillb';
import { ExchangeFailure } from 'lentillb/serving/exchange.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { askServer } from '../support/askServer.js';
import type { EndlessAnswer } from '../support/endlessServer.js';
import { endlessAnswers, EndlessServer } from '../support/endlessServer.js';

const TIMEOUT_MS = 5_000;
const GIVEN_UP_MS = 1_500;
/** How many requests a backend server runs at a time on the users' platform. */
const SLOTS = 18;
/** What the smallest host has, less what a node takes without load, in bytes. */
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

/** Starts a server that answers so. */
async function start(answer: EndlessAnswer) {
  const server = new EndlessServer(answer);
  servers.push(server);
  const address = await server.listen();
  return { server, ask: () => askServer(address, { agent, timeoutMs: TIMEOUT_MS }) };
}

describe('an answer without end', () => {
  it.each(Object.entries(endlessAnswers))(
    'should be given up, and its connection closed: %s',
    async (_, answer) => {
      const endless = await start(answer);
      const startedMs = clock.monotonicMs();
      const result = await endless.ask();
      expect(clock.monotonicMs() - startedMs).toBeLessThan(GIVEN_UP_MS);
      expect(result.unwrapErr()).toBe(ExchangeFailure.Malformed);
      await clock.sleep(100);
      expect(endless.server.open).toBe(0);
    },
  );

  it('should not fill the memory of a host where every slot gets one', async () => {
    const endless = await start(endlessAnswers['a body of a huge length']!);
    const before = process.memoryUsage().arrayBuffers;
    let most = 0;
    const observer = setInterval(() => {
      most = Math.max(most, process.memoryUsage().arrayBuffers - before);
    }, 5);
    const results = await Promise.all(Array.from({ length: SLOTS }, endless.ask));
    clearInterval(observer);
    expect(results.map((result) => result.isErr())).toEqual(Array<boolean>(SLOTS).fill(true));
    expect(most).toBeLessThan(SPARE_MEMORY_BYTES);
  });
});
