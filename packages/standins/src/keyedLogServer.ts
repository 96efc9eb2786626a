/** A substitute for the platform's store of keyed records, with its HTTP protocol and faults. */
import { runInBackground } from 'lentillb/sidecar';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { closeServer, listenOnLoopback, loopbackAddress } from './loopback.js';
import { readRequestBody } from './readRequestBody.js';

const ERA_HEADER = 'store-era';
const FIRST_ERA = 1;
const LENGTH_BYTES = 4;
const BYTES_PER_KB = 1_024;
/** The size of an answer to a read unless the caller asks for another, in kilobytes. */
const DEFAULT_READ_KB = 1_024;
/** The maximum size of a page of newest records, in bytes, and its maximum number of records. */
const MAX_PAGE_BYTES = 1_024 * BYTES_PER_KB;
const MAX_PAGE_RECORDS = 500;
/** The maximum size of one appended record, and of all records of one call, in bytes. */
const MAX_RECORD_BYTES = 262_144;
const MAX_CALL_BYTES = 2_097_152;
const OFFSET_BYTES = 8;

const HttpStatus = {
  Ok: 200,
  BadRequest: 400,
  NotFound: 404,
  Conflict: 409,
  Gone: 410,
  Unavailable: 503,
} as const;

/** Faults that replace the normal handling of a request. */
export const StoreFault = {
  /** Responds with status 503 without handling the request. */
  Refuse: 'refuse',
  /** Resets the connection without handling the request. */
  Reset: 'reset',
  /** Appends the records but sends no response. Reads are handled as usual. */
  LoseResponse: 'lose-answer',
  /** Sends no response and does not handle the request. */
  NoResponse: 'silence',
} as const;
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
  readonly bytes: Buffer;
}

interface StoredTopic {
  readonly records: StoredRecord[];
  /** The offset of the first record that can be read. */
  firstOffset: number;
  readonly waiters: Set<() => void>;
}

function encodeOffset(offset: number): Buffer {
  const bytes = Buffer.alloc(OFFSET_BYTES);
  bytes.writeBigUInt64BE(BigInt(offset));
  return bytes;
}

function prependLength(record: Buffer): Buffer {
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

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Returns the first items that fit into a size, at least one. */
function takeWithin<Item>(
  items: readonly Item[],
  maxBytes: number,
  sizeOf: (item: Item) => number,
): readonly Item[] {
  let bytes = 0;
  const end = items.findIndex((item, index) => {
    bytes += sizeOf(item);
    return index > 0 && bytes > maxBytes;
  });
  return end < 0 ? items : items.slice(0, end);
}

/** An HTTP server that keeps topics of keyed records in memory. */
export class KeyedLogServer {
  private fault: StoreFault | undefined;

  private readonly server: Server;

  private readonly topics = new Map<string, StoredTopic>();

  private callCount = 0;

  private era = FIRST_ERA;

  private readonly sockets = new Set<Socket>();

  constructor() {
    this.server = createServer((request, response) => {
      response.setHeader(ERA_HEADER, `${this.era}`);
      runInBackground(this.serve(request, response));
    });
    this.server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /** The number of requests received. */
  get calls(): number {
    return this.callCount;
  }

  /** The number of open connections. */
  get connections(): number {
    return this.sockets.size;
  }

  /** The address and port that the server listens on. */
  get address(): string {
    return loopbackAddress(this.server);
  }

  /** @param fault - the fault applied to all requests from now on; undefined ends it */
  setFault(fault: StoreFault | undefined): void {
    this.fault = fault;
  }

  /** Starts listening on a free port. */
  async listen(): Promise<void> {
    await listenOnLoopback(this.server);
  }

  /** Closes the server and its connections. */
  async close(): Promise<void> {
    await closeServer(this.server);
  }

  /**
   * Appends a record without a request, as if an operator had written it.
   *
   * @param topic - the name of the topic
   * @param key - the key of the record
   * @param value - the value of the record
   */
  write(topic: string, key: string, value: string): void {
    const keyBytes = Buffer.from(key);
    const record = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
    this.append(topic, [record]);
  }

  /**
   * Compacts a topic: earlier offsets can no longer be read, but the newest record of each key stays.
   *
   * @param topic - the name of the topic
   */
  compact(topic: string): void {
    const stored = this.getOrCreateTopic(topic);
    stored.firstOffset = stored.records.length;
    [...stored.waiters].forEach((wake) => wake());
  }

  /**
   * Continues from an older copy, as after an outage: the last records of a topic are lost and their
   * offsets are given out again. Waiting reads end without an answer.
   *
   * @param topic - the name of the topic
   * @param lostRecords - the number of lost records
   */
  restoreOlderCopy(topic: string, lostRecords: number): void {
    const stored = this.getOrCreateTopic(topic);
    stored.records.splice(Math.max(0, stored.records.length - lostRecords));
    this.era += 1;
    this.server.closeAllConnections();
  }

  /**
   * Returns the newest record of a key, as it would be read.
   *
   * @param topic - the name of the topic
   * @param key - the key of the record
   * @returns the value of the record; undefined if there is none
   */
  newestValue(topic: string, key: string): string | undefined {
    const { records } = this.getOrCreateTopic(topic);
    return records.findLast((record) => record.key === key)?.value.toString('utf8');
  }

  private getOrCreateTopic(name: string): StoredTopic {
    const existing = this.topics.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created: StoredTopic = { records: [], firstOffset: 0, waiters: new Set() };
    this.topics.set(name, created);
    return created;
  }

  private append(topic: string, records: readonly Buffer[]): number {
    const stored = this.getOrCreateTopic(topic);
    const offset = stored.records.length;
    stored.records.push(...records.map(decodeRecord));
    [...stored.waiters].forEach((wake) => wake());
    return offset;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.callCount += 1;
    const body = await readRequestBody(request);
    if (body === undefined) {
      return;
    }
    const { pathname, searchParams } = new URL(request.url ?? '/', 'http://store');
    const { fault } = this;
    const handlers: Readonly<Record<string, () => Promise<void> | void>> = {
      '/log-append': () => {
        const records = splitRecords(body);
        const isTooLarge = records.some(({ length }) => length > MAX_RECORD_BYTES);
        if (isTooLarge || body.length > MAX_CALL_BYTES) {
          sendJson(response, HttpStatus.BadRequest, { why: 'size' });
          return;
        }
        const topic = searchParams.get('topic') ?? '';
        const at = searchParams.get('at');
        const end = this.getOrCreateTopic(topic).records.length;
        if (at !== null && Number(at) !== end) {
          sendJson(response, HttpStatus.Conflict, { end });
          return;
        }
        const offset = this.append(topic, records);
        if (fault === undefined) {
          sendJson(response, HttpStatus.Ok, { offset, end: offset + 1 });
        }
      },
      '/log-read': () => this.read(searchParams, response),
      '/log-newest': () => this.newest(searchParams, response),
    };
    const handle = handlers[pathname];
    if (fault === StoreFault.Refuse) {
      sendJson(response, HttpStatus.Unavailable, {});
    } else if (fault === StoreFault.Reset) {
      request.socket.resetAndDestroy();
    } else if (handle === undefined) {
      sendJson(response, HttpStatus.NotFound, {});
    } else if (fault !== StoreFault.NoResponse) {
      await handle();
    }
  }

  private async read(query: URLSearchParams, response: ServerResponse): Promise<void> {
    const stored = this.getOrCreateTopic(query.get('topic') ?? '');
    const from = Number(query.get('from'));
    if (from > stored.records.length) {
      sendJson(response, HttpStatus.Gone, { first: stored.firstOffset });
      return;
    }
    if (from >= stored.records.length) {
      await this.waitForRecord(stored, Number(query.get('wait-ms') ?? 0));
    }
    if (from < stored.firstOffset) {
      sendJson(response, HttpStatus.Gone, { first: stored.firstOffset });
      return;
    }
    const maxBytes = Number(query.get('max-kb') ?? DEFAULT_READ_KB) * BYTES_PER_KB;
    const frames = stored.records.slice(from).map(({ bytes }) => prependLength(bytes));
    const records = takeWithin(frames, maxBytes, ({ length }) => length);
    const offsets = [encodeOffset(stored.records.length), encodeOffset(stored.firstOffset)];
    response.writeHead(HttpStatus.Ok);
    response.end(Buffer.concat([...offsets, ...records]));
  }

  // eslint-disable-next-line class-methods-use-this -- a helper of the method above
  private async waitForRecord(stored: StoredTopic, waitMs: number): Promise<void> {
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
    const { records } = this.getOrCreateTopic(query.get('topic') ?? '');
    const newestByKey = new Map(
      records.map(({ key, value }, offset) => [key, { key, value, offset }]),
    );
    const after = query.get('after') ?? '';
    const items = [...newestByKey.values()]
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .filter(({ key }) => key > after)
      .map(({ key, offset, value }) => ({ key, offset, value: value.toString('base64') }));
    const page = takeWithin(items, MAX_PAGE_BYTES, ({ value }) => value.length).slice(
      0,
      MAX_PAGE_RECORDS,
    );
    const hasMore = page.length < items.length;
    sendJson(response, HttpStatus.Ok, { items: page, 'has-more': hasMore, end: records.length });
  }
}
