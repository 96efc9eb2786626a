/** Sends and receives greetings as datagrams. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { parseAddress } from '../utils/networkAddress.js';
import type { GossipMessage } from './gossipMessage.js';
import { decodeGossipMessage, encodeGossipMessage } from './gossipMessage.js';

/** Called with each greeting and the address and port it came from. */
export type GossipMessageHandler = (from: string, message: GossipMessage) => void;

/** Carries greetings between nodes; they may be lost. */
export interface GossipTransport {
  /**
   * @param address - the address and port of a node
   * @param message - what to tell it
   */
  send(address: string, message: GossipMessage): void;
}

/** A datagram socket of a node. */
export class GossipSocket implements GossipTransport {
  private readonly socket: Socket = createSocket('udp4');

  private closed = false;

  /**
   * @param onMessage - called with each greeting
   * @param onError - called where a datagram could not be sent
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

  /** @param address - the address and port to listen on */
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

  /** Ends the socket. */
  close(): void {
    this.closed = true;
    this.socket.close();
  }
}
