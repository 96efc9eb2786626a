/** Runs callers that send together on open connections and then leave together, on a separate thread. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import type { RawRequest } from './rawConnection.js';
import { encodeRequest } from './rawConnection.js';

const WORKER_SOURCE = `
const { connect } = require('node:net');
const { parentPort, workerData } = require('node:worker_threads');
const { host, port, firstRequests, batch, stayMs } = workerData;
let answered = 0;
const sockets = firstRequests.map((request) => {
  const socket = connect(port, host, () => socket.write(request));
  socket.on('error', () => undefined);
  socket.once('data', () => {
    answered += 1;
    if (answered === firstRequests.length) parentPort.postMessage('answered');
  });
  return socket;
});
parentPort.once('message', () => {
  sockets.forEach((socket, index) => socket.write(batch[index]));
  setTimeout(() => {
    sockets.forEach((socket) => socket.destroy());
    parentPort.postMessage(performance.timeOrigin + performance.now());
    parentPort.close();
  }, stayMs);
});
`;

/** The requests of callers that keep their connections open. */
export interface Batch {
  /** The first request on each connection, which is answered. */
  readonly firstRequests: readonly RawRequest[];
  /** The second request on each connection; all are sent together. */
  readonly batch: readonly RawRequest[];
  /** The time after which the callers leave, in milliseconds. */
  readonly stayMs: number;
}

/** Callers that are connected and wait to send their batch. */
export class BatchedCallers {
  private constructor(private readonly worker: Worker) {}

  /**
   * Connects the callers, and waits until their first requests have been answered.
   *
   * @param address - the address and port to connect to
   * @param batch - the requests
   * @returns the callers
   */
  static async connect(
    address: string,
    { batch, firstRequests, stayMs }: Batch,
  ): Promise<BatchedCallers> {
    const worker = new Worker(WORKER_SOURCE, {
      eval: true,
      workerData: {
        ...parseAddress(address),
        firstRequests: firstRequests.map(encodeRequest),
        batch: batch.map(encodeRequest),
        stayMs,
      },
    });
    await once(worker, 'message');
    return new BatchedCallers(worker);
  }

  /**
   * Sends the batch; the callers leave after their time.
   *
   * @returns the time at which all callers had left, in milliseconds since the epoch
   */
  async sendAndLeave(): Promise<number> {
    const left = once(this.worker, 'message');
    this.worker.postMessage('send');
    return (await left)[0] as number;
  }
}
