/** Defines a backend server that answers by a script, without an HTTP library. */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';

/**
 * A function that handles a complete request; receives its socket and the number of requests so
 * far.
 */
export type Script = (socket: Socket, requestCount: number) => void;

const HEAD_END = '\r\n\r\n';

/** Answers requests by a script, for example with malformed data, and records the requests. */
export class ScriptedServer {
  /** The first line of every complete request. */
  readonly requestLines: string[] = [];

  /** The first line and headers of every complete request, in lower case. */
  readonly requestHeads: string[] = [];

  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  constructor(private readonly script: Script) {
    this.server = createServer((socket) => this.serve(socket));
  }

  /** @returns the port that the server listens on */
  async listen(): Promise<number> {
    await listenOnLoopback(this.server);
    return (this.server.address() as AddressInfo).port;
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      for (;;) {
        const headEnd = received.indexOf(HEAD_END);
        const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
        const end = headEnd + HEAD_END.length + length;
        if (headEnd < 0 || received.length < end) {
          return;
        }
        this.requestLines.push(received.slice(0, received.indexOf('\r\n')));
        this.requestHeads.push(received.slice(0, headEnd).toLowerCase());
        received = received.slice(end);
        this.script(socket, this.requestLines.length);
      }
    });
  }
}

/**
 * @param body - the body of the response
 * @param head - additional header lines, each with its line end
 * @returns a complete response as HTTP/1.1 text
 */
export function encodeResponse(body: string, head = ''): string {
  return `HTTP/1.1 200 OK\r\n${head}content-length: ${body.length}\r\n\r\n${body}`;
}

/** An answer that switches the connection to another protocol, which no client has asked for. */
export const SWITCHING =
  'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n';
