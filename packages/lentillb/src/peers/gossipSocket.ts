/** Sends and receives gossip messages as datagrams. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { SuspectReport } from '../directory/suspectReport.js';
import { parseAddress } from '../utils/networkAddress.js';
import type { GossipMessage } from './gossipMessage.js';
import { decodeGossipMessage, encodeGossipMessage } from './gossipMessage.js';
import { decodeSuspectReports, encodeSuspectReports } from './suspectReportMessage.js';
import type { SuspectReportTransport } from './suspectReportRelay.js';

/** The callbacks for datagrams of other nodes. */
export interface GossipSocketListener {
  /** Called with each gossip message and the address and port of its sender. */
  readonly onMessage: (from: string, message: GossipMessage) => void;
  /** Called with reports about suspect requests and the address and port of their sender. */
  readonly onSuspectReports: (from: string, reports: readonly SuspectReport[]) => void;
  /** Called if a datagram could not be sent. */
  readonly onError: (error: Error) => void;
}

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

/** The UDP socket of a node for gossip messages and reports about suspect requests. */
export class GossipSocket implements GossipTransport, SuspectReportTransport {
  private readonly socket: Socket = createSocket('udp4');

  private closed = false;

  /** @param listener - the callbacks for datagrams of other nodes */
  constructor(listener: GossipSocketListener) {
    this.socket.on('message', (bytes, { address, port }) => {
      const from = `${address}:${port}`;
      const message = decodeGossipMessage(bytes);
      if (message !== undefined) {
        listener.onMessage(from, message);
        return;
      }
      const reports = decodeSuspectReports(bytes);
      if (reports !== undefined) {
        listener.onSuspectReports(from, reports);
      }
    });
    this.socket.on('error', listener.onError);
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
    this.sendDatagram(address, encodeGossipMessage(message));
  }

  sendSuspectReports(address: string, reports: readonly SuspectReport[]): void {
    this.sendDatagram(address, encodeSuspectReports(reports));
  }

  /** Closes the socket. */
  close(): void {
    if (!this.closed) {
      this.closed = true;
      this.socket.close();
    }
  }

  private sendDatagram(address: string, bytes: Buffer): void {
    if (!this.closed) {
      const { host, port } = parseAddress(address);
      this.socket.send(bytes, port, host);
    }
  }
}
