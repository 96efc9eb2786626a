/** Reads request bodies: whole where they are short, so that they can be sent again. */
import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** The longest body kept for sending again, in bytes. */
export const MAX_REPLAYABLE_BYTES = 256 * 1024;

/** The body of a request; a stream can be sent only once. */
export type RequestBody = Buffer | Readable | undefined;

function hasBody({ headers }: IncomingMessage): boolean {
  const { 'content-length': length, 'transfer-encoding': encoding } = headers;
  return encoding !== undefined || (length !== undefined && length !== '0');
}

async function* rest(
  first: readonly Buffer[],
  others: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  yield* first;
  for (;;) {
    const next = await others.next();
    if (next.done) {
      return;
    }
    yield next.value;
  }
}

/**
 * @param request - a request whose body has not been read
 * @returns its body, or that the sender went away before it was whole
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
        return Ok(Readable.from(rest(chunks, iterator), { objectMode: false }));
      }
    }
  } catch (error) {
    return Err((error as Error).message);
  }
}
