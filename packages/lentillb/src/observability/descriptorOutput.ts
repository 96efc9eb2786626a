/** Writes to the standard descriptors of a process without waiting for a reader that stalls. */
import { writeSync } from 'node:fs';

/** The number of a file descriptor. */
export const Descriptor = { Output: 1, Error: 2 } as const;
export type Descriptor = (typeof Descriptor)[keyof typeof Descriptor];

/** The code of a write that would have to wait for the reader. */
export const WOULD_BLOCK = 'EAGAIN';

/** The pause before a write to a stalled reader is tried again, in milliseconds. */
const STALLED_WRITE_PAUSE_MS = 5;

const streamsByDescriptor = {
  [Descriptor.Output]: () => process.stdout,
  [Descriptor.Error]: () => process.stderr,
} as const;

/**
 * Lets writes to a descriptor fail with `WOULD_BLOCK` where its reader stalls. A thread that waits
 * in a write could not be stopped, and the process could not end.
 *
 * @param descriptor - a standard descriptor; files are left as they are, since they never stall
 */
export function makeNonBlocking(descriptor: Descriptor): void {
  // Node.js sets the mode of a pipe or socket when it creates the stream.
  streamsByDescriptor[descriptor]();
}

function pause(durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

function tryWrite(descriptor: Descriptor, bytes: Uint8Array): number | undefined {
  try {
    // eslint-disable-next-line n/no-sync -- the process ends and does no other work
    return writeSync(descriptor, bytes);
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === WOULD_BLOCK ? 0 : undefined;
  }
}

/**
 * Writes a text synchronously.
 *
 * @param descriptor - a standard descriptor
 * @param text - the text
 * @param timeoutMs - the maximum time to wait for a stalled reader, in milliseconds
 * @returns whether all of the text was written
 */
export function writeNow(descriptor: Descriptor, text: string, timeoutMs: number): boolean {
  makeNonBlocking(descriptor);
  let rest: Uint8Array = Buffer.from(text);
  let waitedMs = 0;
  while (rest.length > 0) {
    const written = tryWrite(descriptor, rest);
    if (written === undefined || (written === 0 && waitedMs >= timeoutMs)) {
      return false;
    }
    rest = rest.subarray(written);
    if (written === 0) {
      pause(STALLED_WRITE_PAUSE_MS);
      waitedMs += STALLED_WRITE_PAUSE_MS;
    }
  }
  return true;
}
