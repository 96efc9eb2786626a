/** Tells when the head of an answer begins and ends. */
import type { IncomingHttpHeaders } from 'node:http';
import { DecoratorHandler } from 'undici';
import type { Dispatcher } from 'undici';
import type { HeadBytes } from './headBytes.js';

/** The lowest status of a final answer; lower ones say that another follows. */
export const LOWEST_FINAL_STATUS = 200;

/** Passes an answer on to another handler, without interim answers. */
export class HeadHandler implements Dispatcher.DispatchHandler {
  private readonly inner: Dispatcher.DispatchHandler;

  /**
   * @param handler - takes the answer
   * @param head - counts the bytes of its head
   */
  constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly head: HeadBytes,
  ) {
    // A pool hands over handlers of an older form; the decorator takes both.
    this.inner = new DecoratorHandler(handler);
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this.head.start();
    this.inner.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
    statusMessage?: string,
  ): void {
    if (statusCode >= LOWEST_FINAL_STATUS) {
      this.head.stop();
      this.inner.onResponseStart?.(controller, statusCode, headers, statusMessage);
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.inner.onResponseData?.(controller, chunk);
  }

  onResponseEnd(controller: Dispatcher.DispatchController, trailers: IncomingHttpHeaders): void {
    this.inner.onResponseEnd?.(controller, trailers);
  }

  onResponseError(controller: Dispatcher.DispatchController, error: Error): void {
    this.head.stop();
    this.inner.onResponseError?.(controller, error);
  }
}
