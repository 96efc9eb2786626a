/** Writes to the standard descriptors of a process without waiting for a reader that stalls. */
import { writeSync } from 'node:fs';
import type { Deadline } from '../kernel/deadline.js';

/** The number of a file descriptor. */
export const Descriptor = { Output: 1, Error: 2 } as const;
export type Descriptor = (typeof Descriptor)[keyof typeof Descriptor];

/** The code of a write that would have to wait for the reader. */
export const WOULD_BLOCK = 'EAGAIN';

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

function tryWrite(descriptor: Descriptor, bytes: Uint8Array): number | undefined {
  try {
    // eslint-disable-next-line n/no-sync -- a line that must not be lost at the end; it never blocks
    return writeSync(descriptor, bytes);
  } catch (error) {
    return (error as NodeJS.ErrnoException).code === WOULD_BLOCK ? 0 : undefined;
  }
}

/**
 * Writes a text synchronously in a single attempt. A pipe takes a text of up to a page completely or
 * not at all.
 *
 * @param descriptor - a standard descriptor
 * @param text - the text
 * @returns whether all of the text was written
 */
export function writeAtOnce(descriptor: Descriptor, text: string): boolean {
  makeNonBlocking(descriptor);
  const bytes = Buffer.from(text);
  return tryWrite(descriptor, bytes) === bytes.length;
}

/**
 * Writes a text synchronously. While the reader stalls, the write is tried again without a pause: nothing
 * else is left to do.
 *
 * @param descriptor - a standard descriptor
 * @param text - the text
 * @param deadline - the time until which a stalled reader is waited for
 * @returns whether all of the text was written
 */
export function writeNow(descriptor: Descriptor, text: string, deadline: Deadline): boolean {
  makeNonBlocking(descriptor);
  let rest: Uint8Array = Buffer.from(text);
  while (rest.length > 0) {
    const written = tryWrite(descriptor, rest);
    if (written === undefined || (written === 0 && deadline.expired())) {
      return false;
    }
    rest = rest.subarray(written);
  }
  return true;
}
