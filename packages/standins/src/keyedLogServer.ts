/** A stand-in for the platform's store of keyed records, by its published protocol, with faults. */
import { runInBackground } from 'lentillb/sidecar';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { endServer, listenOnLoopback, loopbackAddress } from './loopback.js';
import { readWhole } from './readWhole.js';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

const HttpStatus = {
  Ok: 200,
  BadRequest: 400,
  NotFound: 404,
  Gone: 410,
  Unavailable: 503,
} as const;

/** What the store does in place of serving a call. */
export const StoreFault = {
  /** Refuses the call; nothing is done. */
  Refuse: 'refuse',
  /** Resets the connection; nothing is done. */
  Reset: 'reset',
  /** Does the call and gives no answer. */
  LoseAnswer: 'lose-answer',
  /** Gives no answer and does nothing. */
  Silence: 'silence',
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
  readonly bytes: Buffer;
}

interface StoredTopic {
  readonly records: StoredRecord[];
  /** The offset of the first record that is still readable. */
  first: number;
  readonly waiters: Set<() => void>;
}

function offsetBytes(offset: number): Buffer {
  const bytes = Buffer.alloc(OFFSET_BYTES);
  bytes.writeBigUInt64BE(BigInt(offset));
  return bytes;
}

function framed(record: Buffer): Buffer {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(record.length);
  return Buffer.concat([length, record]);
}

function splitRecords(body: Buffer): Buffer[] {
  const records: Buffer[] = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const end = position + LENGTH_BYTES + body.readUInt32BE(position);
    records.push(body.subarray(position + LENGTH_BYTES, end));
    position = end;
  }
  return records;
}

function decodeRecord(bytes: Buffer): StoredRecord {
  const valueStart = 1 + (bytes[0] ?? 0);
  return {
    key: bytes.subarray(1, valueStart).toString('utf8'),
    value: bytes.subarray(valueStart),
    bytes,
  };
}

function answerJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** An HTTP server with keyed topics in memory. */
export class KeyedLogServer {
  private fault: StoreFault | undefined;

  private readonly server: Server;

  private readonly topics = new Map<string, StoredTopic>();

  private callCount = 0;

  constructor() {
    this.server = createServer((request, response) => {
      runInBackground(this.serve(request, response));
    });
  }

  /** How many calls arrived. */
  get calls(): number {
    return this.callCount;
  }

  /** The address and port the server listens on. */
  get address(): string {
    return loopbackAddress(this.server);
  }

  /** @param fault - what becomes of each call from now on; undefined serves them */
  misbehave(fault: StoreFault | undefined): void {
    this.fault = fault;
  }

  /** Starts to listen. */
  async listen(): Promise<void> {
    await listenOnLoopback(this.server);
  }

  /** Ends the server and its connections. */
  async close(): Promise<void> {
    await endServer(this.server);
  }

  /**
   * Writes a record, as an operator would.
   *
   * @param topic - the name of the topic
   * @param key - the key
   * @param value - the content
   */
  write(topic: string, key: string, value: string): void {
    const keyBytes = Buffer.from(key);
    const record = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
    this.append(topic, [record]);
  }

  /**
   * Drops the history of a topic; the newest record of each key stays.
   *
   * @param topic - the name of the topic
   */
  compact(topic: string): void {
    const stored = this.topicOf(topic);
    stored.first = stored.records.length;
    [...stored.waiters].forEach((wake) => wake());
  }

  private topicOf(name: string): StoredTopic {
    const held = this.topics.get(name);
    if (held !== undefined) {
      return held;
    }
    const created: StoredTopic = { records: [], first: 0, waiters: new Set() };
    this.topics.set(name, created);
    return created;
  }

  private append(topic: string, records: readonly Buffer[]): number {
    const stored = this.topicOf(topic);
    const offset = stored.records.length;
    stored.records.push(...records.map(decodeRecord));
    [...stored.waiters].forEach((wake) => wake());
    return offset;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.callCount += 1;
    const body = await readWhole(request);
    if (body === undefined) {
      return;
    }
    const { pathname, searchParams } = new URL(request.url ?? '/', 'http://store');
    const { fault } = this;
    const handlers: Readonly<Record<string, () => Promise<void> | void>> = {
      '/log-append': () => {
        const offset = this.append(searchParams.get('topic') ?? '', splitRecords(body));
        if (fault === undefined) {
          answerJson(response, HttpStatus.Ok, { offset, end: offset + 1 });
        }
      },
      '/log-read': () => this.read(searchParams, response),
      '/log-newest': () => this.newest(searchParams, response),
    };
    const handle = handlers[pathname];
    if (fault === StoreFault.Refuse) {
      answerJson(response, HttpStatus.Unavailable, {});
    } else if (fault === StoreFault.Reset) {
      request.socket.resetAndDestroy();
    } else if (handle === undefined) {
      answerJson(response, HttpStatus.NotFound, {});
    } else if (fault !== StoreFault.Silence) {
      await handle();
    }
  }

  private async read(query: URLSearchParams, response: ServerResponse): Promise<void> {
    const stored = this.topicOf(query.get('topic') ?? '');
    const from = Number(query.get('from'));
    if (from >= stored.records.length) {
      await this.untilWritten(stored, Number(query.get('wait-ms') ?? 0));
    }
    if (from < stored.first) {
      answerJson(response, HttpStatus.Gone, { first: stored.first });
      return;
    }
    const records = stored.records.slice(from).map(({ bytes }) => framed(bytes));
    const range = [offsetBytes(stored.records.length), offsetBytes(stored.first)];
    response.writeHead(HttpStatus.Ok);
    response.end(Buffer.concat([...range, ...records]));
  }

  // eslint-disable-next-line class-methods-use-this -- kept beside the read that it serves
  private async untilWritten(stored: StoredTopic, waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        stored.waiters.delete(resolve);
        resolve();
      }, waitMs);
      stored.waiters.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  private newest(query: URLSearchParams, response: ServerResponse): void {
    const { records } = this.topicOf(query.get('topic') ?? '');
    const byKey = new Map(records.map(({ key, value }, offset) => [key, { key, value, offset }]));
    const items = [...byKey.values()].map(({ key, offset, value }) => ({
      key,
      offset,
      value: value.toString('base64'),
    }));
    answerJson(response, HttpStatus.Ok, { items, 'has-more': false, end: records.length });
  }
}
