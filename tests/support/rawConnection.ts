/** Opens connections of callers and writes requests to them without an HTTP library. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { parseAddress } from 'lentillb/utils/networkAddress.js';

/** A request; by default a GET request without a body. */
export interface RawRequest {
  readonly method?: string;
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
  /** The body, in characters of one byte each. */
  readonly body?: string;
}

/**
 * @param request - the request
 * @returns the request as HTTP/1.1 text
 */
export function encodeRequest({ body = '', headers, method = 'GET', target }: RawRequest): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${target} HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

/** Writes requests to one connection, also before earlier ones are answered. */
export class RawConnection {
  private received = '';

  private constructor(private readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      this.received += chunk.toString('latin1');
    });
  }

  /**
   * @param address - the address and port to connect to
   * @returns the open connection
   */
  static async open(address: string): Promise<RawConnection> {
    const socket = connect(parseAddress(address));
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawConnection(socket);
  }

  /** All data received so far. */
  get receivedText(): string {
    return this.received;
  }

  /** Whether either side has closed the connection. */
  get isClosed(): boolean {
    return this.socket.destroyed;
  }

  /** @param request - the request to write */
  write(request: RawRequest): void {
    this.writeText(encodeRequest(request));
  }

  /** @param text - a part of a request, in characters of one byte each */
  writeText(text: string): void {
    this.socket.write(text, 'latin1');
  }

  /** Closes the connection at once; the other side can still read the data written before. */
  close(): void {
    this.socket.destroy();
  }
}
