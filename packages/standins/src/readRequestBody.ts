/** Reads the body of a request. */
import type { IncomingMessage } from 'node:http';

/**
 * @param request - a request
 * @returns its body, or undefined if the connection was closed before its end
 */
export async function readRequestBody(request: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    // An incomplete request is ignored: its sender sees the lost connection.
    return undefined;
  }
  return Buffer.concat(chunks);
}
