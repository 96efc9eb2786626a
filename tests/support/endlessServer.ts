/** Defines a server that answers a request with a response that never ends. */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';

/** The start of an endless response and the part that repeats after it. */
export interface EndlessAnswer {
  readonly start: string;
  readonly repeated: string;
}

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n';
const LINE_CONTENT = 'x'.repeat(1_000);

/** Responses that never end, in the head or in the body, by description. */
export const endlessAnswers: Readonly<Record<string, EndlessAnswer>> = {
  'blank lines ahead of the status line': { start: '', repeated: '\r\n'.repeat(500) },
  'interim answers': { start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(50) },
  'a status line': { start: 'HTTP/1.1 200 ', repeated: LINE_CONTENT },
  'header lines': { start: HEAD, repeated: `X-More: ${LINE_CONTENT}\r\n` },
  'one header line': { start: `${HEAD}X-Long: `, repeated: LINE_CONTENT },
  'a body without a length': { start: `${HEAD}\r\n`, repeated: LINE_CONTENT },
  chunks: {
    start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    repeated: `3e8\r\n${LINE_CONTENT}\r\n`,
  },
  'the extension of a chunk': {
    start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n5;a=`,
    repeated: LINE_CONTENT,
  },
  trailers: {
    start: `${HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n`,
    repeated: `X-More: ${LINE_CONTENT}\r\n`,
  },
  'a body of a huge length': {
    start: `${HEAD}Content-Length: 99999999999\r\n\r\n`,
    repeated: LINE_CONTENT,
  },
};

/** The amount of data after which the server stops, so that a failing test ends by itself. */
const MAX_SENT_BYTES = 512 * 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;

/** Sends an endless response to the first data on each connection, until the connection closes. */
export class EndlessServer {
  /** The number of bytes written to all connections. */
  sentBytes = 0;

  /** The number of open connections with a response in progress. */
  openResponses = 0;

  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  constructor({ repeated, start }: EndlessAnswer) {
    const chunk = repeated.repeat(Math.ceil(CHUNK_BYTES / repeated.length));
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.sockets.delete(socket));
      socket.once('data', () => {
        this.openResponses += 1;
        socket.once('close', () => {
          this.openResponses -= 1;
        });
        socket.write(start);
        this.send(socket, chunk);
      });
    });
  }

  /** @returns the address and port that the server listens on */
  listen(): Promise<string> {
    return listenOnLoopback(this.server);
  }

  /** Closes all connections and stops listening. */
  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private send(socket: Socket, chunk: string): void {
    if (socket.destroyed || this.sentBytes > MAX_SENT_BYTES) {
      return;
    }
    this.sentBytes += chunk.length;
    socket.write(chunk, () => setImmediate(() => this.send(socket, chunk)));
  }
}
