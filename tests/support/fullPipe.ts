/** Opens a pipe that is full, as if whoever reads the output of a program had stopped. */
import { closeSync, constants, openSync, readSync, writeSync } from 'node:fs';

const BLOCK_BYTES = 4_096;

/** A pipe to which nothing more can be written. */
export interface FullPipe {
  /** The descriptor of its writing end. */
  readonly descriptor: number;
  /** Reads all that is in the pipe. */
  readonly drain: () => string;
  readonly close: () => void;
}

function fill(descriptor: number): void {
  const block = Buffer.alloc(BLOCK_BYTES, '\n');
  try {
    for (;;) {
      writeSync(descriptor, block);
    }
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') {
      throw error;
    }
  }
}

function drain(descriptor: number): string {
  const block = Buffer.alloc(BLOCK_BYTES);
  let text = '';
  try {
    for (;;) {
      text += block.toString('utf8', 0, readSync(descriptor, block));
    }
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') {
      throw error;
    }
  }
  return text;
}

/**
 * Opens a named pipe and fills it.
 *
 * @param file - the path of the pipe
 * @returns the full pipe
 */
export function openFullPipe(file: string): FullPipe {
  const reader = openSync(file, constants.O_RDWR | constants.O_NONBLOCK);
  fill(reader);
  const descriptor = openSync(file, constants.O_WRONLY);
  return {
    descriptor,
    drain: () => drain(reader),
    close: () => [reader, descriptor].forEach((open) => closeSync(open)),
  };
}
