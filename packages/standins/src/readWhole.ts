/** Takes in the body of a request. */
import type { IncomingMessage } from 'node:http';

/**
 * @param request - a request
 * @returns its body, or undefined where its sender broke off
 */
export async function readWhole(request: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
  } catch {
    // A request that is not whole is none: its sender sees the lost connection.
    return undefined;
  }
  return Buffer.concat(chunks);
}
