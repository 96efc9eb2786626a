/** Reads request bodies within the memory that a node has for them. */
import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Clock } from '../kernel/clock.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { MemoryUse } from '../memory/memoryUse.js';
import { ChunkBuffer } from '../utils/chunkBuffer.js';

/** The time after which a sender that sends nothing more of a body has stalled, in milliseconds. */
const STALL_TIMEOUT_MS = 1_000;

/** The reasons why there is no complete body. */
export const BodyFailure = {
  /** The sender disconnected before the request was complete. */
  SenderGone: 'sender-gone',
  /** The body is longer than the limit. */
  TooLong: 'too-long',
  /** The node has no memory for it, or needs that of a stalled sender for others. */
  NoMemory: 'no-memory',
} as const;
export type BodyFailure = (typeof BodyFailure)[keyof typeof BodyFailure];

/** A complete body. Its bytes count until it is released. */
export interface CompleteBody {
  readonly bytes: Buffer;
  /** Releases the memory of the body, which must not be used any more. */
  readonly release: () => void;
}

/** The terms on which a body is read. */
export interface BodyTerms {
  /** The clock by which senders stall. */
  readonly clock: Clock;
  /** The memory that bodies share with other uses. */
  readonly memory: MemoryBudget;
  /** The longest body that is accepted, in bytes. */
  readonly maxBytes: number;
}

class ArrivingBody {
  readonly result: Promise<Result<CompleteBody, BodyFailure>>;

  private readonly chunks = new ChunkBuffer();

  /** The memory that counts for the body, in bytes. */
  private heldBytes = 0;

  private heardAtMs = 0;

  private settle: ((result: Result<CompleteBody, BodyFailure>) => void) | undefined;

  private removeHolder: (() => void) | undefined;

  constructor(
    request: IncomingMessage,
    private readonly terms: BodyTerms,
  ) {
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    request.on('data', (chunk: Buffer) => this.add(chunk));
    request.once('end', () => this.complete());
    request.once('error', () => this.fail(BodyFailure.SenderGone));
    request.once('close', () => this.fail(BodyFailure.SenderGone));
  }

  private add(chunk: Buffer): void {
    const { maxBytes, memory } = this.terms;
    memory.recordRead(chunk.length);
    if (this.settle === undefined) {
      return;
    }
    if (this.chunks.bytes + chunk.length > maxBytes) {
      this.fail(BodyFailure.TooLong);
      return;
    }
    // Set first, because the demand may give up senders that have stalled.
    this.heardAtMs = this.terms.clock.monotonicMs();
    const growthBytes = this.chunks.growthFor(chunk.length);
    if (growthBytes > 0 && !memory.tryTake(MemoryUse.Bodies, growthBytes)) {
      this.fail(BodyFailure.NoMemory);
      return;
    }
    this.chunks.append(chunk);
    this.heldBytes += growthBytes;
    this.removeHolder ??= this.addHolder();
  }

  private addHolder(): () => void {
    const { clock, memory } = this.terms;
    return memory.addHolder({
      use: MemoryUse.Bodies,
      isStalled: () => clock.monotonicMs() - this.heardAtMs > STALL_TIMEOUT_MS,
      giveUp: () => {
        memory.reportRefusal(MemoryUse.Bodies, this.heldBytes);
        this.fail(BodyFailure.NoMemory);
      },
    });
  }

  private complete(): void {
    const bytes = this.chunks.concat();
    this.terms.memory.release(MemoryUse.Bodies, this.heldBytes - bytes.length);
    this.heldBytes = bytes.length;
    this.finish(Ok({ bytes, release: () => this.release() }));
  }

  private fail(failure: BodyFailure): void {
    if (this.settle !== undefined) {
      this.release();
      this.finish(Err(failure));
    }
  }

  private finish(result: Result<CompleteBody, BodyFailure>): void {
    this.removeHolder?.();
    this.chunks.clear();
    this.settle?.(result);
    this.settle = undefined;
  }

  private release(): void {
    this.terms.memory.release(MemoryUse.Bodies, this.heldBytes);
    this.heldBytes = 0;
  }
}

/**
 * Reads the body of a request. Its bytes count from the moment at which they arrive.
 *
 * @param request - the request, whose body has not been read
 * @param terms - the limits of the body
 * @returns the complete body, or why there is none
 */
export function readRequestBody(
  request: IncomingMessage,
  terms: BodyTerms,
): Promise<Result<CompleteBody, BodyFailure>> {
  return new ArrivingBody(request, terms).result;
}
