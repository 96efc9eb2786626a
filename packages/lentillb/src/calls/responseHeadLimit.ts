/** Limits the bytes read on a connection between a request and the head of its final response. */
import type { Socket } from 'node:net';
import { MAX_RESPONSE_HEAD_BYTES } from '../utils/responseLimits.js';

/** Closes a connection on which a server sends too many bytes before its final response. */
export class ResponseHeadLimit {
  private socket: Socket | undefined;

  private bytesReadAtStart: number | undefined;

  /**
   * Starts to watch a connection, in place of the previous one.
   *
   * @param socket - the connection on which the following requests are sent
   */
  watch(socket: Socket): void {
    this.socket = socket;
    socket.on('readable', () => {
      if (
        this.bytesReadAtStart !== undefined &&
        socket.bytesRead - this.bytesReadAtStart > MAX_RESPONSE_HEAD_BYTES
      ) {
        socket.destroy(
          new Error(
            `the server sent more than ${MAX_RESPONSE_HEAD_BYTES} bytes before its final response`,
          ),
        );
      }
    });
  }

  /** Starts to count the bytes of a response head. */
  start(): void {
    this.bytesReadAtStart = this.socket?.bytesRead ?? 0;
  }

  /** Stops counting, so that the body is not limited. */
  stop(): void {
    this.bytesReadAtStart = undefined;
  }
}
