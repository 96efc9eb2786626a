/** Opens links to other nodes, and probes whether they are running. */
import type { ClientSessionOptions } from 'node:http2';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import type { Client } from '@connectrpc/connect';
import type { PeerMessage } from '@lentillb/protocol';
import { Mesh } from '@lentillb/protocol';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** The address and port on which a node listens for links. */
export interface PeerAddress {
  readonly address: string;
  readonly port: number;
}

/** Connects to other nodes. */
export interface PeerDialer {
  /**
   * Opens a link over a separate connection.
   *
   * @param peer - the address where the other node listens
   * @param outbound - the messages to send
   * @param signal - closes the link when aborted
   * @returns the received messages; iterating over them throws if the connection fails
   */
  open(
    peer: PeerAddress,
    outbound: AsyncIterable<PeerMessage>,
    signal: AbortSignal,
  ): AsyncIterable<PeerMessage>;

  /**
   * Checks whether a node is running.
   *
   * @param peer - the address where the node listens
   * @param host - the host expected at this address
   * @param timeoutMs - the timeout, in milliseconds
   * @returns the incarnation of the node, or the reason why it was not reached
   */
  probe(peer: PeerAddress, host: string, timeoutMs: number): Promise<Result<bigint, string>>;
}

/**
 * Options that disable Nagle's algorithm: small messages that wait for an acknowledgement cost
 * 40 ms a hop.
 */
const SOCKET_OPTIONS = { noDelay: true } as ClientSessionOptions;

interface Connection {
  readonly client: Client<typeof Mesh>;
  readonly close: () => void;
}

function connect({ address, port }: PeerAddress): Connection {
  const baseUrl = `http://${address}:${port}`;
  const sessionManager = new Http2SessionManager(baseUrl, undefined, SOCKET_OPTIONS);
  const transport = createConnectTransport({ baseUrl, httpVersion: '2', sessionManager });
  return { client: createClient(Mesh, transport), close: () => sessionManager.abort() };
}

/** Opens links with the Connect protocol over HTTP/2. */
export class ConnectDialer implements PeerDialer {
  // eslint-disable-next-line class-methods-use-this -- implements the interface
  async *open(
    peer: PeerAddress,
    outbound: AsyncIterable<PeerMessage>,
    signal: AbortSignal,
  ): AsyncGenerator<PeerMessage> {
    const { client, close } = connect(peer);
    try {
      yield* client.link(outbound, { signal });
    } finally {
      close();
    }
  }

  // eslint-disable-next-line class-methods-use-this -- implements the interface
  async probe(peer: PeerAddress, host: string, timeoutMs: number): Promise<Result<bigint, string>> {
    const { client, close } = connect(peer);
    try {
      const response = await client.probe({ host }, { timeoutMs });
      return response.host === host
        ? Ok(response.incarnation)
        : Err(`host "${response.host}" answered in place of "${host}"`);
    } catch (error) {
      return Err(error instanceof Error ? error.message : String(error));
    } finally {
      close();
    }
  }
}
