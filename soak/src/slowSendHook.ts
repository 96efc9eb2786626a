/**
 * Loaded into node processes: makes it costly to send many requests in one turn of the event loop, as
 * it is in a process that has just started on a small share of a core.
 */
import http from 'node:http';
import { syncBuiltinESMExports } from 'node:module';

/** The number of requests in a turn that are sent at the usual cost. */
const CHEAP_SENDS = 4;
/** The processor time that each further request takes, in milliseconds. */
const SEND_COST_MS = 15;

const { request } = http;
let sentInTurn = 0;

function spendTime(): void {
  const endMs = performance.now() + SEND_COST_MS;
  while (performance.now() < endMs);
}

function requestSlowly(...call: Parameters<typeof request>): http.ClientRequest {
  if (sentInTurn === 0) {
    setImmediate(() => {
      sentInTurn = 0;
    });
  }
  sentInTurn += 1;
  if (sentInTurn > CHEAP_SENDS) {
    spendTime();
  }
  return request(...call);
}

http.request = requestSlowly as typeof request;
syncBuiltinESMExports();
