/** Sends and receives gossip messages as datagrams. */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { SuspectReport } from '../directory/suspectReport.js';
import type { AddressEvents, AddressListener } from '../utils/addressListener.js';
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
  /** Called with each datagram that is neither, and the address and port of its sender. */
  readonly onOtherDatagram?: (from: string, bytes: Buffer) => void;
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

/** The UDP socket of a node, which all datagrams between nodes share. */
export class GossipSocket implements GossipTransport, SuspectReportTransport, AddressListener {
  readonly use = 'gossip';

  /** The socket, while its address is open. */
  private socket: Socket | undefined;

  private onError: AddressEvents['onError'] | undefined;

  /**
   * @param address - the address and port to listen on
   * @param listener - the callbacks for datagrams of other nodes
   */
  constructor(
    readonly address: string,
    private readonly listener: GossipSocketListener,
  ) {}

  open({ onClosed, onError }: AddressEvents): Promise<Result<void, NodeJS.ErrnoException>> {
    const socket = createSocket('udp4');
    const { host, port } = parseAddress(this.address);
    return new Promise((resolve) => {
      const onUnavailable = (error: NodeJS.ErrnoException): void => {
        socket.close();
        resolve(Err(error));
      };
      socket.once('error', onUnavailable);
      socket.bind(port, host, () => {
        socket.off('error', onUnavailable);
        socket.on('error', onError);
        socket.on('message', (bytes, from) => this.receive(bytes, `${from.address}:${from.port}`));
        socket.on('close', () => {
          this.socket = undefined;
          onClosed();
        });
        this.socket = socket;
        this.onError = onError;
        resolve(Ok(undefined));
      });
    });
  }

  send(address: string, message: GossipMessage): void {
    this.sendDatagram(address, encodeGossipMessage(message));
  }

  sendSuspectReports(address: string, reports: readonly SuspectReport[]): void {
    this.sendDatagram(address, encodeSuspectReports(reports));
  }

  /**
   * Sends a datagram. Each kind of datagram begins with a byte of its own.
   *
   * @param address - the address and port of the receiving node
   * @param bytes - the datagram
   */
  sendDatagram(address: string, bytes: Buffer): void {
    const { host, port } = parseAddress(address);
    // Without a callback, the socket reports no failure of the send itself.
    this.socket?.send(bytes, port, host, (error) => {
      if (error !== null) {
        this.onError?.(error);
      }
    });
  }

  close(): void {
    this.socket?.close();
    this.socket = undefined;
  }

  private receive(bytes: Buffer, from: string): void {
    const message = decodeGossipMessage(bytes);
    if (message !== undefined) {
      this.listener.onMessage(from, message);
      return;
    }
    const reports = decodeSuspectReports(bytes);
    if (reports !== undefined) {
      this.listener.onSuspectReports(from, reports);
      return;
    }
    this.listener.onOtherDatagram?.(from, bytes);
  }
}
