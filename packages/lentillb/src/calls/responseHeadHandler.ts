/** Applies the limit of response head bytes to each request. */
import type { IncomingHttpHeaders } from 'node:http';
import { DecoratorHandler } from 'undici';
import type { Dispatcher } from 'undici';
import { MIN_FINAL_STATUS } from './answerStatuses.js';
import type { ResponseHeadLimit } from './responseHeadLimit.js';

/** Forwards a response to another handler, without interim responses. */
export class ResponseHeadHandler implements Dispatcher.DispatchHandler {
  private readonly inner: Dispatcher.DispatchHandler;

  /**
   * @param handler - receives the response
   * @param headLimit - limits the bytes of the response head
   */
  constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly headLimit: ResponseHeadLimit,
  ) {
    // A pool passes handlers of the legacy undici interface; the decorator accepts both interfaces.
    this.inner = new DecoratorHandler(handler);
  }

  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    this.headLimit.start();
    this.inner.onRequestStart?.(controller, context);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
    statusMessage?: string,
  ): void {
    if (statusCode >= MIN_FINAL_STATUS) {
      this.headLimit.stop();
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
    this.headLimit.stop();
    this.inner.onResponseError?.(controller, error);
  }
}
