/** Sends one request to a server under test. */
import type { Agent } from 'node:http';
import { SystemClock } from 'lentillb';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { exchange } from 'lentillb/serving/exchange.js';
import { createCallerPresence } from './callerPresence.js';

const clock = new SystemClock();
/** The memory that all requests of a test share. */
const memory = new MemoryBudget(clock);

/** The options of a request that differ between tests. */
export interface RequestOptions {
  readonly agent: Agent;
  readonly timeoutMs: number;
  readonly cancellation?: Cancellation;
}

/**
 * Sends one GET request.
 *
 * @param address - the address and port of the server
 * @param options - the agent, the timeout in milliseconds and the cancellation to use
 * @returns the response, or the reason why there is none
 */
export function sendRequest(
  address: string,
  { agent, cancellation = new Cancellation(), timeoutMs }: RequestOptions,
): ReturnType<typeof exchange> {
  return exchange(clock, {
    agent,
    address,
    method: 'GET',
    target: '/',
    headers: { host: 'a.example' },
    body: Buffer.alloc(0),
    connectTimeoutMs: 500,
    timeoutMs,
    cancellation,
    memory,
    deadlineAtMs: clock.monotonicMs() + timeoutMs,
    presence: createCallerPresence(clock),
  });
}
