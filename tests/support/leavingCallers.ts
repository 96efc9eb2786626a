/** Callers on a thread of their own, which leave while the event loop of the test is held. */
import { Worker } from 'node:worker_threads';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import type { RawRequest } from './rawConnection.js';
import { encodeRequest } from './rawConnection.js';

const CALLER = `
const { connect } = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { host, port, requests, stayMs } = workerData;
let open = requests.length;
requests.forEach((request) => {
  const socket = connect(port, host, () => {
    socket.write(request);
    setTimeout(() => socket.destroy(), stayMs);
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    open -= 1;
    if (open === 0) parentPort.postMessage('left');
  });
});
`;

/** How long each caller waits for its answer, in milliseconds. */
const STAY_MS = 20;

/**
 * Sends requests, each on a connection of its own.
 *
 * @param address - the address and port to connect to
 * @param requests - the requests
 * @returns a thread that ends when all callers have left
 */
export function startLeavingCallers(address: string, requests: readonly RawRequest[]): Worker {
  const { host, port } = parseAddress(address);
  const encoded = requests.map(encodeRequest);
  return new Worker(CALLER, {
    eval: true,
    workerData: { host, port, requests: encoded, stayMs: STAY_MS },
  });
}
