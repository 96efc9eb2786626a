/** Serves the state of this node to other nodes, and the metrics of this process. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { promisify } from 'node:util';
import { constants, gzip } from 'node:zlib';
import type { AddressListener } from '../utils/addressListener.js';
import { ServerAddress } from '../utils/addressListener.js';
import { runInBackground } from '../utils/background.js';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { Directory } from '../directory/directory.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { StorePosition } from './nodeState.js';
import { encodeNodeState } from './nodeState.js';

/** Paths of the HTTP server for other nodes. */
export const PeerPath = { State: '/state', Metrics: '/metrics' } as const;

/** The query parameter with the configuration version that the requesting node holds. */
export const HELD_VERSION_PARAMETER = 'held';

/** The query parameter by which the requesting node asks for the hosts; they are sent unless it is 0. */
export const HOSTS_PARAMETER = 'hosts';
export const WITHOUT_HOSTS = '0';

/** The number of compressed states that are kept: several nodes request the same one. */
const MAX_CACHED_STATES = 8;

const HttpStatus = { Ok: 200, NotFound: 404 } as const;

const compress = promisify(gzip);

/** The HTTP server for other nodes. */
export class StateServer {
  private readonly server: Server;

  /** The last compressed states, oldest first. */
  private readonly cachedStates = new Map<string, Promise<Buffer>>();

  /**
   * @param metrics - the metrics to serve
   * @param configuration - the configuration in force at this node
   * @param directory - the announcements that this node holds
   * @param position - returns the position up to which the configuration in force has been read
   */
  constructor(
    private readonly metrics: MetricsRegistry,
    private readonly configuration: ConfigurationHolder,
    private readonly directory: Directory,
    private readonly position: () => StorePosition | undefined = () => undefined,
  ) {
    this.server = createServer({ noDelay: true }, (request, response) =>
      runInBackground(this.handle(request, response)),
    );
  }

  /**
   * Returns the listener of the server on an address.
   *
   * @param address - the address and port to listen on
   * @returns the listener, whose address is not open yet
   */
  at(address: string): AddressListener {
    return new ServerAddress('other nodes', address, this.server);
  }

  /** Closes the server and all its connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle({ url = '/' }: IncomingMessage, response: ServerResponse): Promise<void> {
    // The target is not parsed as a URL, because that throws where it is not one.
    const [pathname = '', query] = url.split('?', 2);
    const searchParams = new URLSearchParams(query);
    const bodyProviders: Readonly<Record<string, () => string | Promise<Buffer>>> = {
      [PeerPath.Metrics]: () => this.metrics.renderText(),
      [PeerPath.State]: () =>
        this.compressedState(
          Number(searchParams.get(HELD_VERSION_PARAMETER)),
          searchParams.get(HOSTS_PARAMETER) !== WITHOUT_HOSTS,
        ),
    };
    const body = await bodyProviders[pathname]?.();
    response.writeHead(body === undefined ? HttpStatus.NotFound : HttpStatus.Ok);
    response.end(body);
  }

  private compressedState(heldVersion: number, withHosts: boolean): Promise<Buffer> {
    const change = this.configuration.changeSince(heldVersion);
    const { announcements, digest } = this.directory;
    const position = this.position();
    const offset = `${position?.era} ${position?.nextOffset}`;
    const key = `${change?.baseVersion} ${change?.version} ${offset} ${withHosts ? digest : ''}`;
    const cached = this.cachedStates.get(key);
    if (cached !== undefined) {
      return cached;
    }
    const hosts = withHosts ? announcements : [];
    const text = encodeNodeState({ change, announcements: hosts, position });
    // Routes are so similar that even the fastest level compresses them to a tenth.
    const body = compress(text, { level: constants.Z_BEST_SPEED });
    this.cachedStates.set(key, body);
    const [oldestKey = key] = this.cachedStates.keys();
    if (this.cachedStates.size > MAX_CACHED_STATES) {
      this.cachedStates.delete(oldestKey);
    }
    return body;
  }
}
