/** Loads that make a node hold as much memory as its callers can. */
import { createSocket } from 'node:dgram';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { SystemClock } from 'lentillb';
import { parseAddress } from 'lentillb/utils/networkAddress.js';

const CONNECT_BATCH = 200;
const BATCH_PAUSE_MS = 20;
const DATAGRAM_BYTES = 1_400;
const HEAD = 'host: letters.example\r\n';

const UNFINISHED_BODY = Buffer.concat([
  Buffer.from(`POST /a HTTP/1.1\r\n${HEAD}content-length: 1000000\r\n\r\n`),
  Buffer.alloc(900_000, 'b'),
]);
const COMPLETE_BODY = Buffer.concat([
  Buffer.from(`POST /a HTTP/1.1\r\n${HEAD}x-deadline-ms: 1400\r\ncontent-length: 900000\r\n\r\n`),
  Buffer.alloc(900_000, 'b'),
]);
const TINY_CHUNKS = Buffer.concat([
  Buffer.from(`POST /a HTTP/1.1\r\n${HEAD}transfer-encoding: chunked\r\n\r\n`),
  Buffer.from('1\r\nb\r\n'.repeat(1_000_000)),
]);
const UNFINISHED_HEAD = Buffer.from(`GET /a HTTP/1.1\r\n${HEAD}x-long: ${'h'.repeat(60_000)}`);
const SHORT_REQUEST = `GET /a HTTP/1.1\r\n${HEAD}\r\n`;
const REQUEST_AND_UNFINISHED_HEAD = Buffer.concat([Buffer.from(SHORT_REQUEST), UNFINISHED_HEAD]);
const PIPELINED_REQUESTS = Buffer.from(SHORT_REQUEST.repeat(20_000));
/** The body of a request for a long answer. */
export const LONG_ANSWER_BODY = 'a long answer, please';
const LONG_ANSWER_REQUEST = Buffer.from(
  `POST /a HTTP/1.1\r\n${HEAD}x-deadline-ms: 1400\r\ncontent-length: ${LONG_ANSWER_BODY.length}\r\n\r\n${LONG_ANSWER_BODY}`,
);
const UNFINISHED_HEARTBEAT = Buffer.concat([
  Buffer.from('PUT /instances/i-9 HTTP/1.1\r\nhost: a\r\ncontent-length: 65000\r\n\r\n'),
  Buffer.alloc(60_000, ' '),
]);

const clock = new SystemClock();

/** The connections that one test holds. */
export class MemoryLoads {
  private readonly sockets: Socket[] = [];

  /** The number of connections that the node has not closed. */
  get openConnections(): number {
    return this.sockets.filter(({ destroyed }) => !destroyed).length;
  }

  /**
   * Opens connections, each of which sends most of the body of a request and then waits.
   *
   * @param address - the address and port of a listener
   * @param count - the number of connections
   */
  unfinishedBodies(address: string, count: number): Promise<void> {
    return this.open(address, count, UNFINISHED_BODY);
  }

  /**
   * Opens connections, each of which sends a request with a long body.
   *
   * @param address - the address and port of a listener
   * @param count - the number of connections
   */
  completeBodies(address: string, count: number): Promise<void> {
    return this.open(address, count, COMPLETE_BODY);
  }

  /**
   * Opens connections, each of which sends a long body in chunks of one byte, without its end.
   *
   * @param address - the address and port of a listener
   * @param count - the number of connections
   */
  tinyChunks(address: string, count: number): Promise<void> {
    return this.open(address, count, TINY_CHUNKS);
  }

  /**
   * Opens connections, each of which sends most of a head and then waits.
   *
   * @param address - the address and port of a listener
   * @param count - the number of connections
   */
  unfinishedHeads(address: string, count: number): Promise<void> {
    return this.open(address, count, UNFINISHED_HEAD);
  }

  /**
   * Opens connections, each of which sends a request and, in the same data, most of a further head.
   *
   * @param address - the address and port of a listener
   * @param count - the number of connections
   */
  unfinishedHeadsBehindRequests(address: string, count: number): Promise<void> {
    return this.open(address, count, REQUEST_AND_UNFINISHED_HEAD);
  }

  /**
   * Opens connections, each of which sends 20,000 requests without waiting for answers.
   *
   * @param address - the address and port of a listener
   * @param count - the number of connections
   */
  pipelinedRequests(address: string, count: number): Promise<void> {
    return this.open(address, count, PIPELINED_REQUESTS);
  }

  /**
   * Opens connections, each of which asks for a long answer and does not read it.
   *
   * @param address - the address and port of a listener
   * @param count - the number of connections
   */
  unreadAnswers(address: string, count: number): Promise<void> {
    return this.open(address, count, LONG_ANSWER_REQUEST, false);
  }

  /**
   * Opens connections, each of which sends most of a heartbeat and then waits.
   *
   * @param address - the address and port of the listener for heartbeats
   * @param count - the number of connections
   */
  unfinishedHeartbeats(address: string, count: number): Promise<void> {
    return this.open(address, count, UNFINISHED_HEARTBEAT);
  }

  /**
   * Opens connections that send nothing.
   *
   * @param address - the address and port of a listener
   * @param count - the number of connections
   */
  idleConnections(address: string, count: number): Promise<void> {
    return this.open(address, count, Buffer.alloc(0));
  }

  /** Closes all connections. */
  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private async open(address: string, count: number, data: Buffer, reads = true): Promise<void> {
    for (let opened = 0; opened < count; opened += CONNECT_BATCH) {
      const batch = Math.min(CONNECT_BATCH, count - opened);
      const connections = Array.from({ length: batch }, () => this.openOne(address, data, reads));
      await Promise.all(connections);
      await clock.sleep(BATCH_PAUSE_MS);
    }
  }

  private openOne(address: string, data: Buffer, reads: boolean): Promise<void> {
    return new Promise((resolve) => {
      const socket = connect(parseAddress(address));
      this.sockets.push(socket);
      socket.on('error', () => resolve());
      socket.on('connect', () => resolve());
      if (reads) {
        socket.resume();
      } else {
        socket.pause();
      }
      if (data.length > 0) {
        socket.write(data);
      }
    });
  }
}

/**
 * Sends datagrams that no node understands.
 *
 * @param address - the address and port to send to
 * @param count - the number of datagrams
 */
export async function sendGarbageDatagrams(address: string, count: number): Promise<void> {
  const { host, port } = parseAddress(address);
  const socket = createSocket('udp4');
  for (let sent = 0; sent < count; sent += 1) {
    socket.send(Buffer.alloc(DATAGRAM_BYTES, sent), port, host);
    if (sent % CONNECT_BATCH === 0) {
      await clock.sleep(BATCH_PAUSE_MS);
    }
  }
  await new Promise<void>((resolve) => {
    socket.close(resolve);
  });
}
