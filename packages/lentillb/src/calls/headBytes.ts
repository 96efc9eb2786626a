/** Counts what is read on one connection between a request and the head of its final answer. */
import type { Socket } from 'node:net';
import { MAX_HEAD_BYTES } from '../utils/answerLimits.js';

/** Closes a connection on which a server sends bytes without end ahead of its answer. */
export class HeadBytes {
  private socket: Socket | undefined;

  private startBytes: number | undefined;

  /** @param socket - the connection that requests are sent on from now on */
  watch(socket: Socket): void {
    this.socket = socket;
    socket.on('readable', () => {
      if (this.startBytes !== undefined && socket.bytesRead - this.startBytes > MAX_HEAD_BYTES) {
        socket.destroy(new Error(`more than ${MAX_HEAD_BYTES} bytes ahead of an answer`));
      }
    });
  }

  /** Counts from here on. */
  start(): void {
    this.startBytes = this.socket?.bytesRead ?? 0;
  }

  /** Counts no longer. */
  stop(): void {
    this.startBytes = undefined;
  }
}
