/** Sends and receives greetings as datagrams. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { parseAddress } from '../utils/networkAddress.js';
import type { Greeting } from './greeting.js';
import { decodeGreeting, encodeGreeting } from './greeting.js';

/** Called with each greeting and the address and port it came from. */
export type GreetingHandler = (from: string, greeting: Greeting) => void;

/** Carries greetings between nodes; they may be lost. */
export interface GreetingCarrier {
  /**
   * @param address - the address and port of a node
   * @param greeting - what to tell it
   */
  send(address: string, greeting: Greeting): void;
}

/** A datagram socket of a node. */
export class PeerSocket implements GreetingCarrier {
  private readonly socket: Socket = createSocket('udp4');

  private closed = false;

  /**
   * @param onGreeting - called with each greeting
   * @param onError - called where a datagram could not be sent
   */
  constructor(onGreeting: GreetingHandler, onError: (error: Error) => void) {
    this.socket.on('message', (bytes, { address, port }) => {
      const greeting = decodeGreeting(bytes);
      if (greeting !== undefined) {
        onGreeting(`${address}:${port}`, greeting);
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

  send(address: string, greeting: Greeting): void {
    if (this.closed) {
      return;
    }
    const { host, port } = parseAddress(address);
    this.socket.send(encodeGreeting(greeting), port, host);
  }

  /** Ends the socket. */
  close(): void {
    this.closed = true;
    this.socket.close();
  }
}
