/** Sends one request to a server under test. */
import type { Agent } from 'node:http';
import { SystemClock } from 'lentillb';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { exchange } from 'lentillb/serving/exchange.js';

/** What differs between requests of tests. */
export interface Asking {
  readonly agent: Agent;
  readonly timeoutMs: number;
  readonly cancellation?: Cancellation;
}

/**
 * @param address - the address and port of the server
 * @param asking - how to ask it
 * @returns its answer, or why there is none
 */
export function askServer(
  address: string,
  { agent, cancellation = new Cancellation(), timeoutMs }: Asking,
): ReturnType<typeof exchange> {
  return exchange(new SystemClock(), {
    agent,
    address,
    method: 'GET',
    target: '/',
    headers: { host: 'a.example' },
    body: Buffer.alloc(0),
    connectTimeoutMs: 500,
    timeoutMs,
    cancellation,
  });
}
