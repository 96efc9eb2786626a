/** Bounds the memory that one connection of a caller or another node takes. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../kernel/clock.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { MemoryUse } from '../memory/memoryUse.js';

/** The memory of a connection without a request, in bytes. */
export const CONNECTION_BYTES = 7 * 1024;
/** The memory of a request in progress, without its head and body, in bytes. */
const REQUEST_BYTES = 10 * 1024;
/** The number of unanswered requests above which no more are read. */
const MAX_UNANSWERED = 64;
/** The number of unanswered requests up to which reading goes on. */
const RESUME_UNANSWERED = 32;
/**
 * The share of the memory for requests up to which requests are accepted behind others of the same
 * connection.
 */
const PIPELINED_SHARE = 0.25;
/** The bytes by which the length of a request may differ from what its fields show, such as white space. */
const LENGTH_TOLERANCE_BYTES = 256;
/** The length of a request line and of the end of a head without method and target, in bytes. */
const REQUEST_LINE_BYTES = 14;
/** The time after which a sender that sends nothing more of a head has stalled, in milliseconds. */
const STALL_TIMEOUT_MS = 1_000;

/** What becomes of a request whose head has arrived. */
export const Admission = {
  Accepted: 'accepted',
  /** There is no room for it; it must be refused at once. */
  Refused: 'refused',
  /** Its connection is closed, so it gets no answer. */
  Closed: 'closed',
} as const;
export type Admission = (typeof Admission)[keyof typeof Admission];

/** The parts and terms that all connections of a listener share. */
export interface ConnectionTerms {
  /** The clock by which senders stall. */
  readonly clock: Clock;
  /** The memory that connections share with other uses. */
  readonly memory: MemoryBudget;
  /** The longest head that the parser accepts, in bytes. */
  readonly maxHeadBytes: number;
  /** The HTTP response to a connection whose head cannot be held. */
  readonly headRefusal: string;
}

/** Returns the length of a request, or undefined if it is known only once the request is complete. */
function lengthOf(
  { headers, method = '', url = '' }: IncomingMessage,
  headBytes: number,
): number | undefined {
  return headers['transfer-encoding'] === undefined
    ? REQUEST_LINE_BYTES +
        method.length +
        url.length +
        headBytes +
        Number(headers['content-length'] ?? 0)
    : undefined;
}

/**
 * Counts one connection, its unanswered requests and the head that it has not sent completely. The HTTP
 * parser keeps the latter. Until a connection has sent a whole request, a whole head is reserved for it; if
 * the share does not allow that, its bytes are counted as they arrive. Afterwards they are measured at
 * intervals.
 */
export class CallerConnection {
  private isHeadReserved: boolean;

  /** Whether the bytes of heads are counted as they arrive. */
  private readonly isHeadCounted: boolean;

  /** The length of all requests whose heads have arrived, with their bodies, in bytes. */
  private requestedBytes = 0;

  /** Whether the length of the last request is not known yet. */
  private isLengthUnknown = false;

  /** The counted length of the head that has not arrived completely, in bytes. */
  private headBytes = 0;

  /** The time at which a part of a head arrived last, in milliseconds of the monotonic clock. */
  private headHeardAtMs = 0;

  private lastRequest: IncomingMessage | undefined;

  private unansweredCount = 0;

  /** The memory of the unanswered requests, in bytes. */
  private requestBytes = 0;

  private isPaused = false;

  private isGivenUp = false;

  private isClosed = false;

  private removeHolder: (() => void) | undefined;

  /**
   * @param socket - the connection, from which nothing has been read
   * @param terms - the parts and terms that all connections share
   */
  constructor(
    private readonly socket: Socket,
    private readonly terms: ConnectionTerms,
  ) {
    const { maxHeadBytes, memory } = terms;
    memory.take(MemoryUse.Connections, CONNECTION_BYTES);
    this.isHeadReserved = memory.tryTakeFromShare(MemoryUse.Heads, maxHeadBytes);
    this.isHeadCounted = !this.isHeadReserved;
    if (this.isHeadCounted) {
      // Takes the input away from the parser's own reading, which costs time: not done for all.
      socket.on('data', () => this.countHead());
    }
    socket.once('close', () => this.close());
  }

  /** The number of unanswered requests. */
  get unanswered(): number {
    return this.unansweredCount;
  }

  /** Whether it was closed for the sake of the memory, so that nothing more of it may be handled. */
  get givenUp(): boolean {
    return this.isGivenUp;
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
    if (this.isGivenUp) {
      return Admission.Closed;
    }
    this.lastRequest = request;
    const length = lengthOf(request, headBytes);
    this.isLengthUnknown ||= length === undefined;
    this.requestedBytes += length ?? 0;
    this.setHeadBytes(0);
    const bytes = REQUEST_BYTES + headBytes;
    const isTaken = this.takeRequest(bytes);
    if (!isTaken && this.unansweredCount > 0) {
      // Its refusal would have to wait, and be held, behind the answers to the requests before.
      this.giveUp();
      return Admission.Closed;
    }
    this.countUntilClosed(isTaken ? bytes : 0, response);
    return isTaken ? Admission.Accepted : Admission.Refused;
  }

  /** Records that a request was read completely, and stops reading if many wait for their answers. */
  recordComplete(): void {
    this.releaseReservation();
    if (this.unansweredCount > MAX_UNANSWERED) {
      this.isPaused = true;
      this.socket.pause();
    }
  }

  /** Counts the head that is arriving, if this is not done as it arrives. */
  measureHead(): void {
    if (!this.isHeadCounted && !this.isHeadReserved) {
      this.countHead();
    }
  }

  /** Stops reading until `resume` is called. */
  pause(): void {
    this.socket.pause();
  }

  /** Reads on, unless many requests wait for their answers. */
  resume(): void {
    if (!this.isPaused && !this.socket.destroyed) {
      this.socket.resume();
    }
  }

  private takeRequest(bytes: number): boolean {
    const { memory } = this.terms;
    const pipelinedBytes = memory.shareOf(MemoryUse.Requests) * PIPELINED_SHARE;
    const isPipelined = this.unansweredCount > 0;
    if (isPipelined && memory.bytesOf(MemoryUse.Requests) + bytes > pipelinedBytes) {
      memory.reportRefusal(MemoryUse.Requests, bytes);
      return false;
    }
    return memory.tryTake(MemoryUse.Requests, bytes);
  }

  private countUntilClosed(bytes: number, response: ServerResponse): void {
    this.requestBytes += bytes;
    this.unansweredCount += 1;
    response.once('close', () => {
      // Responses that wait behind others are not closed with their connection.
      if (!this.isClosed) {
        this.terms.memory.release(MemoryUse.Requests, bytes);
        this.requestBytes -= bytes;
        this.unansweredCount -= 1;
        if (this.isPaused && this.unansweredCount <= RESUME_UNANSWERED) {
          this.isPaused = false;
          this.resume();
        }
      }
    });
  }

  private close(): void {
    const { memory } = this.terms;
    this.isClosed = true;
    this.setHeadBytes(0);
    memory.release(MemoryUse.Requests, this.requestBytes);
    memory.release(MemoryUse.Connections, CONNECTION_BYTES);
    this.releaseReservation();
    this.requestBytes = 0;
    this.unansweredCount = 0;
  }

  private get isBodyArriving(): boolean {
    return this.lastRequest !== undefined && !this.lastRequest.complete;
  }

  private releaseReservation(): void {
    if (this.isHeadReserved) {
      this.isHeadReserved = false;
      this.terms.memory.release(MemoryUse.Heads, this.terms.maxHeadBytes);
    }
  }

  /** Counts what was read behind the requests whose heads have arrived. */
  private countHead(): void {
    if (this.isGivenUp) {
      return;
    }
    const bytes = this.socket.bytesRead - this.requestedBytes;
    if (this.isLengthUnknown || (!this.isBodyArriving && bytes <= LENGTH_TOLERANCE_BYTES)) {
      this.requestedBytes = this.socket.bytesRead;
      this.isLengthUnknown = this.isLengthUnknown && this.isBodyArriving;
    } else if (bytes > this.headBytes) {
      this.addHeadBytes(bytes - this.headBytes);
    }
  }

  private addHeadBytes(bytes: number): void {
    const { clock, memory } = this.terms;
    // Set first, because the demand may give up senders that have stalled.
    this.headHeardAtMs = clock.monotonicMs();
    if (!memory.tryTake(MemoryUse.Heads, bytes)) {
      if (this.unansweredCount === 0) {
        this.refuseHead();
        return;
      }
      // A request runs, whose answer would be lost with the connection.
      memory.take(MemoryUse.Heads, bytes);
      this.isPaused = true;
      this.socket.pause();
    }
    this.headBytes += bytes;
    this.removeHolder ??= memory.addHolder({
      use: MemoryUse.Heads,
      isStalled: () =>
        this.unansweredCount === 0 && clock.monotonicMs() - this.headHeardAtMs > STALL_TIMEOUT_MS,
      giveUp: () => {
        memory.reportRefusal(MemoryUse.Heads, this.headBytes);
        this.refuseHead();
      },
    });
  }

  private setHeadBytes(bytes: number): void {
    if (this.headBytes !== bytes) {
      this.terms.memory.take(MemoryUse.Heads, bytes - this.headBytes);
      this.headBytes = bytes;
      this.removeHolder?.();
      this.removeHolder = undefined;
    }
  }

  private refuseHead(): void {
    this.socket.write(this.terms.headRefusal);
    this.setHeadBytes(0);
    this.giveUp();
  }

  private giveUp(): void {
    this.isGivenUp = true;
    this.socket.destroy();
  }
}
