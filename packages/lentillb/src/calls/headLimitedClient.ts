/** An HTTP client that limits how many bytes a server may send before its final response. */
import { buildConnector, Client } from 'undici';
import type { Dispatcher } from 'undici';
import { ResponseHeadLimit } from './responseHeadLimit.js';
import { ResponseHeadHandler } from './responseHeadHandler.js';

function createLimitedConnector(
  options: Client.Options,
  headLimit: ResponseHeadLimit,
): buildConnector.connector {
  const connect =
    typeof options.connect === 'function' ? options.connect : buildConnector(options.connect ?? {});
  return (target, callback) =>
    connect(target, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        headLimit.watch(socket);
      }
      callback(...result);
    });
}

/**
 * A client with one connection and no pipelining. Closes the connection if the head of a response
 * exceeds the limit.
 */
export class HeadLimitedClient extends Client {
  private readonly headLimit: ResponseHeadLimit;

  /**
   * @param origin - the origin of the server
   * @param options - the connection options
   */
  constructor(origin: string | URL, options: Client.Options) {
    const headLimit = new ResponseHeadLimit();
    super(origin, {
      ...options,
      pipelining: 1,
      connect: createLimitedConnector(options, headLimit),
    });
    this.headLimit = headLimit;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, new ResponseHeadHandler(handler, this.headLimit));
  }
}
