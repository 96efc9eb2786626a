/** Writes to the standard descriptors of a process without waiting for a reader that stalls. */

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
