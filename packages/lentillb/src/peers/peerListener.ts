/** Answers other nodes that lack knowledge, and whoever reads the figures of this process. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { promisify } from 'node:util';
import { constants, gzip } from 'node:zlib';
import { runInBackground } from '../utils/background.js';
import { listenAt } from '../utils/listening.js';
import { parseAddress } from '../utils/networkAddress.js';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { Directory } from '../directory/directory.js';
import type { Figures } from '../observability/figures.js';
import { encodeNodeState } from './nodeState.js';

/** Paths that a node answers to others. */
export const PeerPath = { State: '/state', Metrics: '/metrics' } as const;

/** The parameter with the configuration version that the asking node holds. */
export const HELD_VERSION_PARAMETER = 'held';

const HttpStatus = { Ok: 200, NotFound: 404 } as const;

const compress = promisify(gzip);

/** An HTTP server for other nodes. */
export class PeerListener {
  private readonly server: Server;

  /** The last state given, since several nodes ask for the same one. */
  private cachedState: { readonly key: string; readonly body: Promise<Buffer> } | undefined;

  constructor(
    private readonly figures: Figures,
    private readonly configuration: ConfigurationHolder,
    private readonly directory: Directory,
  ) {
    this.server = createServer({ noDelay: true }, (request, response) =>
      runInBackground(this.handle(request, response)),
    );
  }

  /** @param address - the address and port to listen on */
  async listen(address: string): Promise<void> {
    await listenAt(this.server, parseAddress(address));
  }

  /** Ends the server. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle({ url = '/' }: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(url, 'http://node');
    const bodyProviders: Readonly<Record<string, () => string | Promise<Buffer>>> = {
      [PeerPath.Metrics]: () => this.figures.print(),
      [PeerPath.State]: () =>
        this.compressedState(Number(searchParams.get(HELD_VERSION_PARAMETER))),
    };
    const body = await bodyProviders[pathname]?.();
    response.writeHead(body === undefined ? HttpStatus.NotFound : HttpStatus.Ok);
    response.end(body);
  }

  private compressedState(heldVersion: number): Promise<Buffer> {
    const change = this.configuration.changeSince(heldVersion);
    const key = `${change?.baseVersion} ${change?.version} ${this.directory.digest}`;
    if (this.cachedState?.key !== key) {
      const { announcements } = this.directory;
      const text = encodeNodeState({ change, announcements });
      // Routes resemble each other: even the fastest level leaves a tenth of them.
      this.cachedState = { key, body: compress(text, { level: constants.Z_BEST_SPEED }) };
    }
    return this.cachedState.body;
  }
}
