/** The HTTP server that callers on this host send their requests to. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { parseAddress } from '../utils/networkAddress.js';
import { runInBackground } from '../utils/background.js';
import { listenAt, stopAccepting } from '../utils/listening.js';
import type { InputWatch } from '../utils/pendingInput.js';
import { watchCaller } from '../calls/callerWatch.js';
import type { CallerLimits } from '../configuration/meshConfiguration.js';
import type { Clock } from '../kernel/clock.js';
import type { CallerRequest, EntryAnswer } from './entry.js';

/** The longest request head the parser takes, in bytes; the configuration's limit may be lower. */
const MAX_HEAD_BYTES = 64 * 1024;
/** The longest body that is taken in before a configuration states a limit, in bytes. */
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
/** How many bytes of bodies are held at a time, to bound memory. */
const MAX_BUFFERED_BYTES = 48 * 1024 * 1024;
/** How often time limits of connections are checked, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/** How many connections may wait to be accepted: a zone's callers that reconnect at once. */
const ACCEPT_BACKLOG = 1_024;
const DEFAULT_IDLE_MS = 60_000;

const HttpStatus = {
  NoContent: 204,
  NotModified: 304,
  BadRequest: 400,
  TooLarge: 413,
  HeadTooLarge: 431,
  Unavailable: 503,
} as const;

const BODILESS_STATUSES = new Set<number>([HttpStatus.NoContent, HttpStatus.NotModified]);

/** Answers a request. */
export type RequestHandler = (request: CallerRequest) => Promise<EntryAnswer>;

/** What a listener is told about its server. */
export interface ListenerOptions {
  /** The name of the header with the identity of a request. */
  readonly requestIdName: string;
  /** How long idle connections are kept, in milliseconds, before a configuration states it. */
  readonly idleMs?: number;
  /**
   * Whether answers leave out what another node knows: the time of day, the identity of its
   * request, and what HTTP/1.1 implies. Between availability zones every byte is paid for.
   */
  readonly isTerse?: boolean;
}

function emptyAnswer(status: number): EntryAnswer {
  return { status, headers: {}, body: Buffer.alloc(0) };
}

function hostCount(rawHeaders: readonly string[]): number {
  return rawHeaders.filter((name, index) => index % 2 === 0 && name.toLowerCase() === 'host')
    .length;
}

function headBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

/** An HTTP server that hands whole requests to a handler. */
export class CallerListener {
  private readonly server: Server;

  private limits: CallerLimits | undefined;

  private leaving = false;

  private bufferedBytes = 0;

  private active = 0;

  constructor(
    private readonly clock: Clock,
    private readonly input: InputWatch,
    private readonly handle: RequestHandler,
    private readonly options: ListenerOptions,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        keepAliveTimeout: options.idleMs ?? DEFAULT_IDLE_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => {
        runInBackground(this.serve(request, response));
      },
    );
  }

  /** How many requests are under way. */
  get inFlight(): number {
    return this.active;
  }

  /**
   * @param address - the address and port to listen on
   * @returns the port
   */
  async listen(address: string): Promise<number> {
    const { host, port } = parseAddress(address);
    return listenAt(this.server, { host, port, backlog: ACCEPT_BACKLOG });
  }

  /** @param limits - what callers may send from now on */
  limit(limits: CallerLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Tells callers with every answer to close their connection; goes on taking new ones. */
  leave(): void {
    this.leaving = true;
  }

  /** Takes no new connections and closes idle ones. */
  close(): void {
    stopAccepting(this.server);
    this.server.closeIdleConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = this.clock.monotonicMs();
    const cancellation = watchCaller(request, response);
    this.active += 1;
    response.once('close', () => {
      this.active -= 1;
    });
    const body = await this.readBody(request);
    if (!Buffer.isBuffer(body)) {
      this.answer(request, response, body);
      return;
    }
    const { headers, method = 'GET', url = '/' } = request;
    this.bufferedBytes += body.length;
    // The end of a connection that waited to be accepted, or lay unread, is read after the request.
    await this.input.untilRead();
    const answer = await this.handle({
      method,
      target: url,
      headers,
      body,
      cancellation,
      arrivedAtMs,
    });
    this.bufferedBytes -= body.length;
    this.answer(request, response, answer);
  }

  /** The whole body, or the answer to a request that is not taken in. */
  private async readBody(request: IncomingMessage): Promise<Buffer | EntryAnswer> {
    if (hostCount(request.rawHeaders) !== 1) {
      return emptyAnswer(HttpStatus.BadRequest);
    }
    if (headBytes(request.rawHeaders) > (this.limits?.maxHeaderBytes ?? MAX_HEAD_BYTES)) {
      return emptyAnswer(HttpStatus.HeadTooLarge);
    }
    const maxBytes = this.limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
      for await (const chunk of request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > maxBytes) {
          return emptyAnswer(HttpStatus.TooLarge);
        }
        if (this.bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
          return emptyAnswer(HttpStatus.Unavailable);
        }
      }
    } catch {
      // The caller closed its connection before its request was whole; nobody reads the answer.
      return emptyAnswer(HttpStatus.BadRequest);
    }
    return Buffer.concat(chunks, bytes);
  }

  private answer(request: IncomingMessage, response: ServerResponse, answer: EntryAnswer): void {
    if (response.destroyed) {
      return;
    }
    const { body, headers, status } = answer;
    const { isTerse = false, requestIdName } = this.options;
    const requestId = request.headers[requestIdName];
    if (answer.unframed) {
      response.useChunkedEncodingByDefault = false;
    }
    const closes = this.leaving || !request.complete || answer.unframed === true;
    response.sendDate = !isTerse;
    if (isTerse) {
      response.removeHeader('connection');
    }
    response.writeHead(status, {
      ...headers,
      ...(typeof requestId === 'string' && !isTerse ? { [requestIdName]: requestId } : {}),
      ...(BODILESS_STATUSES.has(status) || answer.unframed
        ? {}
        : { 'content-length': `${body.length}` }),
      ...(closes ? { connection: 'close' } : {}),
    });
    response.end(body);
  }
}
