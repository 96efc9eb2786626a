/** A stand-in for a client: sends requests and tells what came back. */
import { request as openRequest } from 'node:http';

let count = 0;

/**
 * Sends one request on a new connection.
 *
 * @param address - the `outbound` address of a node
 * @param options - `method`, `host`, `path`, `body`, `deadlineMs` and `attempt`
 * @returns the status, headers and body; no status if the connection ended without an answer
 */
export function send(address, { attempt, body = '', deadlineMs = 2_000, host, method, path }) {
  const [ip, port] = address.split(':');
  return new Promise((resolve) => {
    const outgoing = openRequest({
      host: ip,
      port,
      method,
      path,
      headers: {
        host,
        'x-attempt-id': attempt,
        'x-deadline-ms': `${deadlineMs}`,
        ...(method === 'GET' ? {} : { 'content-length': Buffer.byteLength(body) }),
      },
      timeout: deadlineMs,
      agent: false,
    });
    outgoing.once('timeout', () => outgoing.destroy());
    outgoing.once('error', ({ code }) => resolve({ error: code }));
    outgoing.once('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('error', ({ code }) => resolve({ error: code }));
      response.once('end', () => {
        const { headers, statusCode: status } = response;
        resolve({ status, headers, body: Buffer.concat(chunks).toString('utf8') });
      });
    });
    outgoing.end(body);
  });
}

/** Returns a new attempt id. */
export function nextAttempt() {
  count += 1;
  return `${process.pid.toString(16)}${count.toString(16)}`.padStart(16, '0');
}
