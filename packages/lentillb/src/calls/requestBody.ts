/** Reads request bodies. Buffers short ones so that they can be sent again. */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** The longest body that is buffered so that it can be sent again, in bytes. */
export const MAX_REPLAYABLE_BYTES = 256 * 1024;

/** The body of a request; a stream can be sent only once. */
export type RequestBody = Buffer | Readable | undefined;

function hasBody({ headers }: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = headers;
  return encoding !== undefined || (length !== undefined && length !== '0');
}

/** Yields the buffered chunks, then the remaining ones. */
async function* concatChunks(
  buffered: readonly Buffer[],
  remaining: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  yield* buffered;
  for (;;) {
    const next = await remaining.next();
    if (next.done) {
      return;
    }
    yield next.value;
  }
}

/**
 * Reads the body of a request: buffered if it is short, otherwise as a stream.
 *
 * @param request - a request whose body has not been read
 * @returns the body, or an error message if the sender disconnected before the end of the body
 */
export async function readBody(request: IncomingMessage): Promise<Result<RequestBody, string>> {
  if (!hasBody(request)) {
    return Ok(undefined);
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  const iterator = request[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  try {
    for (;;) {
      const next = await iterator.next();
      if (next.done) {
        return Ok(Buffer.concat(chunks, bytes));
      }
      chunks.push(next.value);
      bytes += next.value.length;
      if (bytes > MAX_REPLAYABLE_BYTES) {
        return Ok(Readable.from(concatChunks(chunks, iterator), { objectMode: false }));
      }
    }
  } catch (error) {
    return Err((error as Error).message);
  }
}
