/** A connection to a server that may send bytes without end ahead of its answer. */
import { buildConnector, Client } from 'undici';
import type { Dispatcher } from 'undici';
import { HeadBytes } from './headBytes.js';
import { HeadHandler } from './headHandler.js';

function connectWatched(options: Client.Options, head: HeadBytes): buildConnector.connector {
  const connect =
    typeof options.connect === 'function' ? options.connect : buildConnector(options.connect ?? {});
  return (target, callback) =>
    connect(target, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        head.watch(socket);
      }
      callback(...result);
    });
}

/** A client of one connection without pipelining that gives up heads without end. */
export class BoundedClient extends Client {
  private readonly head: HeadBytes;

  /**
   * @param origin - the server
   * @param options - how to connect to it
   */
  constructor(origin: string | URL, options: Client.Options) {
    const head = new HeadBytes();
    super(origin, { ...options, pipelining: 1, connect: connectWatched(options, head) });
    this.head = head;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, new HeadHandler(handler, this.head));
  }
}
