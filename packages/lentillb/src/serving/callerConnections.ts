/** Bounds the memory that the connections of a listener take by what they send. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionTerms } from './callerConnection.js';
import { Admission, CallerConnection } from './callerConnection.js';
import { PipelineBrake } from './pipelineBrake.js';

/** The open connections of a listener. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  private readonly brake = new PipelineBrake({
    stop: () => this.connections.forEach((connection) => connection.pause()),
    goOn: () => this.connections.forEach((connection) => connection.resume()),
  });

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
      this.brake.count();
    }
    return connection?.admit(request, headBytes, response) ?? Admission.Closed;
  }

  /**
   * Stops reading from a connection on which many requests wait for their answers.
   *
   * @param socket - the connection, from which a request has been read completely
   * @returns false if it has been closed for the sake of the memory; the request must not be handled
   */
  limitUnanswered(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    connection?.limitUnanswered();
    return connection?.givenUp !== true;
  }
}
