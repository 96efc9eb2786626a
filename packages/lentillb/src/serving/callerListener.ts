/** Accepts HTTP requests from callers on this host, and from other nodes. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import type { AddressListener } from '../utils/addressListener.js';
import { ServerAddress } from '../utils/addressListener.js';
import { runInBackground } from '../utils/background.js';
import { closeIdleAfterPendingInput } from '../utils/idleTimeout.js';
import { acceptEstablished, stopAccepting } from '../utils/listening.js';
import { countHeader, isForwardable } from '../utils/messageHead.js';
import { waitForPendingInput } from '../utils/pendingInput.js';
import { refuseUnreadable } from '../utils/refuseUnreadable.js';
import { cancelOnDisconnect } from '../calls/callerDisconnect.js';
import type { CallerPresence } from '../calls/callerPresence.js';
import { MAX_HEAD_BYTES, REQUEST_TIMEOUT_MS } from '../configuration/fixedLimits.js';
import type { CallerLimits } from '../configuration/meshConfiguration.js';
import type { Clock } from '../kernel/clock.js';
import { MemoryBudget } from '../memory/memoryBudget.js';
import { AnswerWriter } from './answerWriter.js';
import { Admission } from './callerConnection.js';
import { CallerConnections } from './callerConnections.js';
import type { EntryAnswer } from './entry.js';
import type { CallerRequest } from './messages.js';
import type { CompleteBody } from './requestBody.js';
import { BodyFailure, readRequestBody } from './requestBody.js';

/** The longest request body that is accepted until a configuration sets a limit. */
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
/** The time for which the rest of a rejected request is read and discarded, in milliseconds. */
const DISCARD_TIMEOUT_MS = 1_000;
/** The retry delay sent with a refusal for the sake of the memory, in seconds. */
const REFUSED_RETRY_AFTER_S = '0.500';
/** The interval at which the server checks the time limits of connections. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/**
 * The maximum number of connections that wait to be accepted; all callers of a zone may reconnect
 * at once.
 */
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

/** The refusal of a request for which there is no memory: it has not run. */
const defaultRefusal: EntryAnswer = {
  status: HttpStatus.Unavailable,
  headers: { 'retry-after': REFUSED_RETRY_AFTER_S },
  body: Buffer.alloc(0),
};

const HEAD_REFUSAL = `HTTP/1.1 503 Service Unavailable\r\nretry-after: ${REFUSED_RETRY_AFTER_S}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`;

const bodyFailureStatuses = {
  // Nobody reads this answer.
  [BodyFailure.SenderGone]: HttpStatus.BadRequest,
  [BodyFailure.TooLong]: HttpStatus.TooLarge,
} as const;

const BODILESS_STATUSES = new Set<number>([HttpStatus.NoContent, HttpStatus.NotModified]);

/**
 * Handles one request.
 *
 * @param request - the request
 * @param isFirstOnConnection - whether no other request has come on its connection before
 * @returns the answer
 */
export type RequestHandler = (
  request: CallerRequest,
  isFirstOnConnection: boolean,
) => Promise<EntryAnswer>;

export interface ListenerOptions {
  /** The name of the header that carries the request identity. */
  readonly requestIdName: string;
  /** The idle time of connections until a configuration sets it, in milliseconds. */
  readonly idleMs?: number;
  /** The maximum time to receive a whole request, in milliseconds; its sender is then answered 408. */
  readonly requestTimeoutMs?: number;
  /**
   * Whether answers omit the headers that another node does not need: the date, the request
   * identity and those that HTTP/1.1 implies. Traffic between zones is charged by the byte.
   */
  readonly isTerse?: boolean;
  /** The memory that the listeners of the process share; by default that of the smallest host. */
  readonly memory?: MemoryBudget;
  /** The answer to a request for which there is no memory; by default status 503 to be retried. */
  readonly memoryRefusal?: EntryAnswer;
  /**
   * Called when the receiver of an answer is given up because it takes nothing.
   *
   * @param requestId - the identity of the request
   * @param unsentBytes - the length of the part of the answer that it has not taken
   */
  readonly onUnreadAnswer?: (requestId: string | undefined, unsentBytes: number) => void;
}

function emptyAnswer(status: number): EntryAnswer {
  return { status, headers: {}, body: Buffer.alloc(0) };
}

function headBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, part) => sum + part.length + 2, 0);
}

/** Passes complete HTTP requests to a handler and sends its answers. */
export class CallerListener {
  private readonly server: Server;

  private readonly writer: AnswerWriter;

  private limits: CallerLimits | undefined;

  private leaving = false;

  private readonly memory: MemoryBudget;

  private readonly connections: CallerConnections;

  /** The connections on which no request has arrived yet. */
  private readonly unusedConnections = new Set<Socket>();

  constructor(
    private readonly clock: Clock,
    private readonly presence: Pick<CallerPresence, 'awaitArrival'>,
    private readonly handle: RequestHandler,
    private readonly options: ListenerOptions,
  ) {
    this.memory = options.memory ?? new MemoryBudget(clock);
    this.writer = new AnswerWriter(clock, this.memory);
    this.connections = new CallerConnections({
      clock,
      memory: this.memory,
      maxHeadBytes: MAX_HEAD_BYTES,
      headRefusal: HEAD_REFUSAL,
    });
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        keepAliveTimeout: options.idleMs ?? DEFAULT_IDLE_MS,
        requestTimeout: options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS,
        noDelay: true,
      },
      (request, response) => {
        runInBackground(this.serve(request, response));
      },
    );
    this.server.on('connection', (socket) => {
      this.unusedConnections.add(socket);
      this.connections.add(socket);
      socket.once('close', () => this.unusedConnections.delete(socket));
    });
    closeIdleAfterPendingInput(this.server);
    refuseUnreadable(this.server);
  }

  /** The number of requests in flight. */
  get inFlight(): number {
    return this.connections.unanswered;
  }

  /**
   * Returns the listener of the server on an address.
   *
   * @param use - the use of the address, as the log and errors name it
   * @param address - the address and port to listen on
   * @returns the listener, whose address is not open yet
   */
  at(use: string, address: string): AddressListener {
    return new ServerAddress(use, address, this.server, ACCEPT_BACKLOG);
  }

  /**
   * Applies the limits of a configuration.
   *
   * @param limits - the limits for requests and connections from now on
   */
  applyLimits(limits: CallerLimits): void {
    this.limits = limits;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Asks callers to close their connection with every answer; still accepts new connections. */
  startDraining(): void {
    this.leaving = true;
  }

  /**
   * Stops accepting connections at a planned stop, and closes idle ones. Connections that callers have
   * already established are accepted first, since closing the listener would reset them. A connection
   * is not idle if a request has arrived on it but has not been read yet.
   */
  async stopGracefully(): Promise<void> {
    await acceptEstablished(this.server);
    stopAccepting(this.server);
    await waitForPendingInput();
    this.server.closeIdleConnections();
  }

  /** Stops accepting connections at once, and closes idle ones. */
  close(): void {
    stopAccepting(this.server);
    this.server.closeIdleConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAtMs = this.clock.monotonicMs();
    const bytes = headBytes(request.rawHeaders);
    const admission = this.connections.admit(request, bytes, response);
    if (admission === Admission.Closed) {
      return;
    }
    const cancellation = cancelOnDisconnect(request, response);
    const rejection = this.rejectionOf(request, bytes, admission);
    const { socket } = request;
    const body = await this.readBody(request, rejection);
    if (!this.connections.recordComplete(socket)) {
      body.map(({ release }) => release());
      return;
    }
    if (body.isErr()) {
      this.answer(request, response, body.error);
      return;
    }
    const { headers, method = 'GET', rawHeaders, url = '/' } = request;
    const isFirstOnConnection = this.unusedConnections.delete(socket);
    // If the request waited in the accept queue or a socket buffer, the event loop reads the end of
    // its connection only after the request. This wait notices callers that have already left.
    await this.presence.awaitArrival();
    const answer = await this.handle(
      {
        method,
        target: url,
        headers,
        rawHeaders,
        body: body.value.bytes,
        cancellation,
        arrivedAtMs,
      },
      isFirstOnConnection,
    );
    body.value.release();
    this.answer(request, response, answer);
  }

  /** Returns the answer to a request that is rejected before its body is read. */
  private rejectionOf(
    request: IncomingMessage,
    bytes: number,
    admission: Admission,
  ): EntryAnswer | undefined {
    if (admission === Admission.Refused) {
      return this.memoryRefusal;
    }
    if (countHeader(request.rawHeaders, 'host') !== 1 || !isForwardable(request)) {
      return emptyAnswer(HttpStatus.BadRequest);
    }
    return bytes > (this.limits?.maxHeaderBytes ?? MAX_HEAD_BYTES)
      ? emptyAnswer(HttpStatus.HeadTooLarge)
      : undefined;
  }

  /** Returns the complete body, or the answer to a request that is rejected. */
  private async readBody(
    request: IncomingMessage,
    rejection: EntryAnswer | undefined,
  ): Promise<Result<CompleteBody, EntryAnswer>> {
    if (rejection !== undefined) {
      return Err(rejection);
    }
    const maxBodyBytes = this.limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const body = await readRequestBody(request, {
      clock: this.clock,
      memory: this.memory,
      maxBytes: maxBodyBytes,
    });
    return body.mapErr((failure) => this.bodyRejection(failure));
  }

  private get memoryRefusal(): EntryAnswer {
    return this.options.memoryRefusal ?? defaultRefusal;
  }

  private bodyRejection(failure: BodyFailure): EntryAnswer {
    return failure === BodyFailure.NoMemory
      ? this.memoryRefusal
      : emptyAnswer(bodyFailureStatuses[failure]);
  }

  private answer(request: IncomingMessage, response: ServerResponse, answer: EntryAnswer): void {
    if (response.destroyed) {
      return;
    }
    const { body, headers, status } = answer;
    const { isTerse = false, requestIdName } = this.options;
    const requestIdHeader = request.headers[requestIdName];
    const requestId = typeof requestIdHeader === 'string' ? requestIdHeader : undefined;
    const closes = this.leaving || !request.complete;
    response.sendDate = !isTerse;
    if (isTerse) {
      response.removeHeader('connection');
    }
    response.writeHead(status, {
      ...headers,
      ...(requestId !== undefined && !isTerse ? { [requestIdName]: requestId } : {}),
      ...(BODILESS_STATUSES.has(status) ? {} : { 'content-length': `${body.length}` }),
      ...(closes ? { connection: 'close' } : {}),
    });
    if (request.complete) {
      this.writer.write(response, body, (unsentBytes) =>
        this.options.onUnreadAnswer?.(requestId, unsentBytes),
      );
    } else {
      this.rejectIncomplete(request, response);
    }
  }

  /**
   * Ends an answer without a body to a request that is still arriving. The rest is read for a while, since
   * closing a connection with unread input would reset it, and the answer be lost.
   */
  private rejectIncomplete(request: IncomingMessage, response: ServerResponse): void {
    response.flushHeaders();
    const end = (): void => {
      response.end();
    };
    const cancelTimer = this.clock.after(DISCARD_TIMEOUT_MS, end);
    request.once('end', end);
    response.once('close', cancelTimer);
    request.resume();
  }
}
