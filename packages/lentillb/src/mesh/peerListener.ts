/** Accepts links from other nodes. */
import { setMaxListeners } from 'node:events';
import { createServer } from 'node:http2';
import type { Http2Server, ServerHttp2Session, ServerOptions } from 'node:http2';
import type { ConnectRouter } from '@connectrpc/connect';
import { Code, ConnectError } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { PeerMessage } from '@lentillb/protocol';
import { LinkRole, Mesh } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { listenAt } from '../utils/listening.js';
import { LinkSide, PeerLink } from './peerLink.js';

type Dependencies = Pick<
  Services,
  | 'announcer'
  | 'clock'
  | 'convergence'
  | 'fleet'
  | 'identity'
  | 'linkTable'
  | 'settings'
  | 'versionStore'
>;

/**
 * Options that disable Nagle's algorithm: small messages that wait for an acknowledgement cost
 * 40 ms a hop.
 */
const SOCKET_OPTIONS = { noDelay: true } as ServerOptions;

/**
 * The maximum number of open links of a node, so that many nodes that reconnect spread over more
 * hosts.
 */
const MAX_LINKS = 128;

/** Listens for links on the peer port. */
export class PeerListener {
  private readonly closing = new AbortController();

  private readonly sessions = new Set<ServerHttp2Session>();

  private server: Http2Server | undefined;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
    // Every accepted link adds an abort listener, and the topology sets their number.
    setMaxListeners(0, this.closing.signal);
  }

  /** Starts listening on the configured peer port. */
  async listen(): Promise<void> {
    const { announcer, settings } = this.services;
    const routes = (router: ConnectRouter): void => {
      router.service(Mesh, {
        link: (inbound) => this.accept(inbound),
        probe: () => ({
          host: settings.host,
          incarnation: BigInt(this.services.identity.incarnation),
        }),
      });
    };
    const server = createServer(SOCKET_OPTIONS, connectNodeAdapter({ routes }));
    server.on('session', (session) => {
      this.sessions.add(session);
      session.on('close', () => this.sessions.delete(session));
    });
    this.server = server;
    const { address: host, peerPort: port } = settings;
    announcer.ports.peerPort = await listenAt(server, { host, port });
  }

  /** Closes all accepted links and stops listening. */
  async close(): Promise<void> {
    this.closing.abort();
    const { server } = this;
    if (server !== undefined) {
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
        this.sessions.forEach((session) => session.destroy());
      });
    }
  }

  /**
   * Handles a link that another node opened.
   *
   * @param inbound - the messages of the other node
   * @returns the messages to the other node
   */
  async *accept(inbound: AsyncIterable<PeerMessage>): AsyncGenerator<PeerMessage> {
    const { linkTable } = this.services;
    if (linkTable.open().length >= MAX_LINKS) {
      throw new ConnectError('too many links; try another host', Code.ResourceExhausted);
    }
    const role = LinkRole.UNSPECIFIED;
    const link = new PeerLink(this.services, { side: LinkSide.Accepted, role });
    linkTable.add(link);
    const task = link.run(inbound, this.closing.signal);
    task.then((end) => linkTable.remove(link, end));
    try {
      yield* link.outbound;
    } finally {
      link.close('closed');
    }
  }
}
