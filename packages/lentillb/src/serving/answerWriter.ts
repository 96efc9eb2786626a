/** Writes answers to their receivers as fast as these take them. */
import type { ServerResponse } from 'node:http';
import type { Clock } from '../kernel/clock.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { MemoryUse } from '../memory/memoryUse.js';
import { runInBackground } from '../utils/background.js';
import { afterPendingInput } from '../utils/pendingInput.js';

/** The longest answer that is handed to its connection at once, in bytes. */
const MAX_DIRECT_BYTES = 16 * 1024;
/** The length of the parts of longer answers, in bytes. */
const PART_BYTES = 64 * 1024;
/** The time after which a receiver that takes nothing is given up, in milliseconds. */
const STALL_TIMEOUT_MS = 5_000;
/** The same time where the memory for answers is needed for others, in milliseconds. */
const SHORT_STALL_TIMEOUT_MS = 1_000;

/**
 * Called when a receiver is given up.
 *
 * @param unsentBytes - the length of the part of the answer that it has not taken
 */
export type GiveUpListener = (unsentBytes: number) => void;

/** Waits until the answers to earlier requests on the same connection have been written. */
function untilAssigned(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    if (response.socket !== null || response.destroyed) {
      resolve();
      return;
    }
    response.once('socket', () => resolve());
    response.once('close', resolve);
  });
}

/** Writes the bodies of answers. */
export class AnswerWriter {
  /**
   * @param clock - the clock by which receivers are given up
   * @param memory - the memory that waiting answers share with other uses
   */
  constructor(
    private readonly clock: Clock,
    private readonly memory: MemoryBudget,
  ) {}

  /**
   * Writes the body of an answer and ends it.
   *
   * @param response - the answer, whose head is set
   * @param body - the body
   * @param onGivenUp - called if its receiver takes nothing for too long
   */
  write(response: ServerResponse, body: Buffer, onGivenUp: GiveUpListener): void {
    if (body.length > MAX_DIRECT_BYTES) {
      runInBackground(this.writeInParts(response, body, onGivenUp));
      return;
    }
    response.end(body);
    if ((response.socket?.writableLength ?? 0) > 0) {
      const giveUp = (): void => {
        onGivenUp(body.length);
        response.destroy();
      };
      response.once('close', afterPendingInput(this.clock, STALL_TIMEOUT_MS, giveUp));
    }
  }

  private async writeInParts(
    response: ServerResponse,
    body: Buffer,
    onGivenUp: GiveUpListener,
  ): Promise<void> {
    let sentBytes = 0;
    let takenAtMs = this.clock.monotonicMs();
    const giveUp = (): void => {
      onGivenUp(body.length - sentBytes);
      response.destroy();
    };
    const isStalled = (): boolean =>
      response.socket !== null &&
      !response.destroyed &&
      this.clock.monotonicMs() - takenAtMs > SHORT_STALL_TIMEOUT_MS;
    const release = this.hold(body.length, isStalled, giveUp);
    response.once('close', release);
    await untilAssigned(response);
    takenAtMs = this.clock.monotonicMs();
    while (sentBytes < body.length && !response.destroyed) {
      const part = body.subarray(sentBytes, sentBytes + PART_BYTES);
      if (!response.write(part)) {
        await this.untilTaken(response, giveUp);
      }
      sentBytes += part.length;
      takenAtMs = this.clock.monotonicMs();
    }
    release();
    response.end();
  }

  /** Counts an answer until the returned function is called, or its receiver is given up. */
  private hold(bytes: number, isStalled: () => boolean, giveUp: () => void): () => void {
    let isHeld = true;
    const release = (): void => {
      if (isHeld) {
        isHeld = false;
        this.memory.release(MemoryUse.Answers, bytes);
      }
    };
    this.memory.take(MemoryUse.Answers, bytes);
    const removeHolder = this.memory.addHolder({
      use: MemoryUse.Answers,
      isStalled,
      giveUp: () => {
        release();
        giveUp();
      },
    });
    return () => {
      removeHolder();
      release();
    };
  }

  private untilTaken(response: ServerResponse, giveUp: () => void): Promise<void> {
    return new Promise((resolve) => {
      const cancelTimer = afterPendingInput(this.clock, STALL_TIMEOUT_MS, giveUp);
      const finish = (): void => {
        cancelTimer();
        response.off('drain', finish);
        response.off('close', finish);
        resolve();
      };
      response.on('drain', finish);
      response.on('close', finish);
    });
  }
}
