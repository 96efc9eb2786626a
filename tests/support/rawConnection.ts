/** A caller's connection below the level of HTTP libraries. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { parseAddress } from 'lentillb/utils/networkAddress.js';

/** A request as a caller writes it. */
export interface RawRequest {
  readonly target: string;
  readonly headers: Readonly<Record<string, string>>;
}

/** @param request - a request @returns its bytes on the wire */
export function encodeRequest({ headers, target }: RawRequest): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `GET ${target} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

/** One connection that requests are written to one after the other. */
export class RawConnection {
  private received = '';

  private constructor(private readonly socket: Socket) {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      this.received += chunk.toString('latin1');
    });
  }

  /** @param address - the address and port to connect to */
  static async open(address: string): Promise<RawConnection> {
    const socket = connect(parseAddress(address));
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawConnection(socket);
  }

  /** What has come back so far. */
  get answers(): string {
    return this.received;
  }

  /** @param request - the request to write */
  write(request: RawRequest): void {
    this.socket.write(encodeRequest(request));
  }

  /** Closes the connection at once; what was written stays readable for the other side. */
  close(): void {
    this.socket.destroy();
  }
}
