/** Bounds the memory that the connections of a listener take by what they send. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MemoryUse } from '../memory/memoryUse.js';
import type { ConnectionTerms } from './callerConnection.js';
import { Admission, CallerConnection, CONNECTION_BYTES } from './callerConnection.js';
import { PipelineLimit } from './pipelineLimit.js';

/** The interval at which heads are measured that arrive on connections with earlier requests, in milliseconds. */
const MEASURE_INTERVAL_MS = 50;

/** The open connections of a listener. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  private readonly pipelineLimit = new PipelineLimit({
    stop: () => this.connections.forEach((connection) => connection.pause()),
    goOn: () => this.connections.forEach((connection) => connection.resume()),
  });

  private isMeasuring = false;

  /** @param terms - the parts and terms that all connections share */
  constructor(private readonly terms: ConnectionTerms) {}

  /** The number of unanswered requests. */
  get unanswered(): number {
    let sum = 0;
    this.connections.forEach((connection) => {
      sum += connection.unanswered;
    });
    return sum;
  }

  /**
   * Counts a connection until it is closed.
   *
   * @param socket - the connection, from which nothing has been read
   */
  add(socket: Socket): void {
    this.connections.set(socket, new CallerConnection(socket, this.terms));
    socket.once('close', () => this.connections.delete(socket));
    this.measureHeads();
  }

  /**
   * Counts a request until its response or its connection is closed.
   *
   * @param request - a request whose head has just arrived
   * @param headBytes - the length of its head, in bytes
   * @param response - its response
   * @returns whether there is room for it
   */
  admit(request: IncomingMessage, headBytes: number, response: ServerResponse): Admission {
    const connection = this.connections.get(request.socket);
    if (connection === undefined || connection.givenUp || connection.unanswered > 0) {
      this.pipelineLimit.count();
    }
    return connection?.admit(request, headBytes, response) ?? Admission.Closed;
  }

  /**
   * Records that a request was read completely. Reading stops while many requests of its connection wait.
   *
   * @param socket - the connection of the request
   * @returns false if it has been closed for the sake of the memory; the request must not be handled
   */
  recordComplete(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    connection?.recordComplete();
    return connection?.givenUp !== true;
  }

  /** Measures the heads that arrive, while there are too many connections for a whole head of each. */
  private measureHeads(): void {
    const { clock, maxHeadBytes, memory } = this.terms;
    const count = memory.bytesOf(MemoryUse.Connections) / CONNECTION_BYTES;
    if (this.isMeasuring || count * maxHeadBytes <= memory.shareOf(MemoryUse.Heads)) {
      return;
    }
    this.isMeasuring = true;
    clock.after(MEASURE_INTERVAL_MS, () => {
      this.isMeasuring = false;
      this.connections.forEach((connection) => connection.measureHead());
      if (this.connections.size > 0) {
        this.measureHeads();
      }
    });
  }
}
