/** Answers that no caller may get as they are, as faulty backend servers send them. */
import type { Randomness } from 'lentillb/sidecar';

type Spoil = (head: string, body: string) => string;

const spoils: readonly Spoil[] = [
  // A header that its reader takes and its writer throws for; one with a control character.
  (head, body) => `${head}bad name: 1\r\n\r\n${body}`,
  (head, body) => `${head}x-bad: 1\u0001\r\n\r\n${body}`,
  (head, body) => `${head.replace(' 200 ', ' 999999 ')}\r\n${body}`,
  // Cut in its head or in its body.
  (head) => head.slice(0, head.length / 2),
  (head, body) => `${head}\r\n${body.slice(0, -1)}`,
  // More than one answer.
  (head, body) => `${head}\r\n${body}extra bytes`,
  (head, body) => `${head}\r\n${body}${head}\r\n${body}`,
];

/**
 * @param requestId - the identity of the request
 * @param body - the body of the right answer
 * @param randomness - selects how the answer is spoiled
 * @returns the bytes to send in place of the right answer
 */
export function spoiledAnswer(requestId: string, body: string, randomness: Randomness): string {
  const head =
    `HTTP/1.1 200 OK\r\nx-attempt-id: ${requestId}\r\nx-server-seal: seal\r\n` +
    `content-length: ${body.length}\r\n`;
  return spoils[randomness.integer(spoils.length)]?.(head, body) ?? '';
}
