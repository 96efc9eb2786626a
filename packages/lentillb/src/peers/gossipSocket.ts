/** Sends and receives gossip messages as datagrams. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { parseAddress } from '../utils/networkAddress.js';
import type { GossipMessage } from './gossipMessage.js';
import { decodeGossipMessage, encodeGossipMessage } from './gossipMessage.js';

/** Called with each gossip message and the address and port of its sender. */
export type GossipMessageHandler = (from: string, message: GossipMessage) => void;

/** Sends gossip messages to other nodes without guaranteed delivery. */
export interface GossipTransport {
  /**
   * Sends a message.
   *
   * @param address - the address and port of the receiving node
   * @param message - the message
   */
  send(address: string, message: GossipMessage): void;
}

/** The UDP socket of a node for gossip messages. */
export class GossipSocket implements GossipTransport {
  private readonly socket: Socket = createSocket('udp4');

  private closed = false;

  /**
   * @param onMessage - called with each gossip message
   * @param onError - called if a datagram could not be sent
   */
  constructor(onMessage: GossipMessageHandler, onError: (error: Error) => void) {
    this.socket.on('message', (bytes, { address, port }) => {
      const message = decodeGossipMessage(bytes);
      if (message !== undefined) {
        onMessage(`${address}:${port}`, message);
      }
    });
    this.socket.on('error', onError);
  }

  /**
   * Binds the socket.
   *
   * @param address - the address and port to listen on
   */
  async bind(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve) => {
      this.socket.bind(port, host, resolve);
    });
  }

  send(address: string, message: GossipMessage): void {
    if (this.closed) {
      return;
    }
    const { host, port } = parseAddress(address);
    this.socket.send(encodeGossipMessage(message), port, host);
  }

  /** Closes the socket. */
  close(): void {
    if (!this.closed) {
      this.closed = true;
      this.socket.close();
    }
  }
}
