/** Reads JSON bodies of limited size. */
import type { IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { ChunkBuffer } from './chunkBuffer.js';

/**
 * Reads and parses a JSON body.
 *
 * @param request - a request whose body has not been read
 * @param maxBytes - the longest body accepted, in bytes
 * @returns the parsed body, or an error message
 */
export async function readJson(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<unknown, string>> {
  const chunks = new ChunkBuffer();
  try {
    for await (const chunk of request) {
      if (chunks.bytes + (chunk as Buffer).length > maxBytes) {
        return Err(`body is longer than ${maxBytes} bytes`);
      }
      chunks.append(chunk as Buffer);
    }
    return Ok(JSON.parse(chunks.concat().toString('utf8')));
  } catch (error) {
    return Err(`body is no JSON: ${(error as Error).message}`);
  }
}
