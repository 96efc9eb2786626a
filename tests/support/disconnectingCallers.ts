/** Runs callers on a separate thread, so that they can disconnect while the test is blocked. */
import { Worker } from 'node:worker_threads';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import type { RawRequest } from './rawConnection.js';
import { encodeRequest } from './rawConnection.js';

const WORKER_SOURCE = `
const { connect } = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { host, port, requests, delayMs } = workerData;
let open = requests.length;
requests.forEach((request) => {
  const socket = connect(port, host, () => {
    socket.write(request);
    setTimeout(() => socket.destroy(), delayMs);
  });
  socket.on('error', () => undefined);
  socket.on('close', () => {
    open -= 1;
    if (open === 0) parentPort.postMessage('left');
  });
});
`;

/** The time between the connection of each caller and its disconnection. */
const DISCONNECT_DELAY_MS = 20;

/**
 * Starts a thread that sends each request on a separate connection and then disconnects.
 *
 * @param address - the address and port to connect to
 * @param requests - the requests
 * @param delayMs - the time between the connection of each caller and its disconnection
 * @returns the thread, which sends a message and ends after all callers have disconnected
 */
export function startDisconnectingCallers(
  address: string,
  requests: readonly RawRequest[],
  delayMs = DISCONNECT_DELAY_MS,
): Worker {
  const { host, port } = parseAddress(address);
  const encoded = requests.map(encodeRequest);
  return new Worker(WORKER_SOURCE, {
    eval: true,
    workerData: { host, port, requests: encoded, delayMs },
  });
}
