/** A stand-in for a client on a slow link: it reads an answer at a steady pace. */
import { connect } from 'node:net';
import { nextAttempt } from './client.js';

const READ_BYTES = 64 * 1024;

/**
 * Sends a request and receives its answer slowly.
 *
 * @param address - the `outbound` address of a node
 * @param options - `host`, `path`, `deadlineMs`, and `pauseMs`, the pause after each 64 KiB
 * @param record - writes a line to the record
 * @returns the head and the body that arrived, and how the connection ended
 */
export async function receiveSlowly(address, { deadlineMs, host, path, pauseMs }, record) {
  const [ip, port] = address.split(':');
  const attempt = nextAttempt();
  const socket = connect({ host: ip, port: Number(port) });
  const chunks = [];
  let ending = 'open';
  let received = 0;
  let expected = Infinity;
  socket.once('error', ({ code }) => {
    ending = `error ${code}`;
  });
  socket.once('end', () => {
    ending = 'regular end';
  });
  const ended = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  socket.on('data', (chunk) => {
    chunks.push(chunk);
    const wasReadAt = Math.floor(received / READ_BYTES);
    received += chunk.length;
    if (expected === Infinity && received === chunk.length) {
      const text = chunk.toString('latin1');
      const length = /^content-length: (\d+)/im.exec(text)?.[1];
      expected = length === undefined ? Infinity : text.indexOf('\r\n\r\n') + 4 + Number(length);
    }
    if (received >= expected) {
      socket.end();
    } else if (Math.floor(received / READ_BYTES) > wasReadAt) {
      socket.pause();
      setTimeout(() => socket.resume(), pauseMs);
    }
  });
  record(`request ${attempt} GET ${path} sent to ${address}`);
  socket.write(
    `GET ${path} HTTP/1.1\r\nHost: ${host}\r\nX-Attempt-Id: ${attempt}\r\n` +
      `X-Deadline-Ms: ${deadlineMs}\r\n\r\n`,
  );
  await ended;
  const answer = Buffer.concat(chunks);
  const headEnd = answer.indexOf('\r\n\r\n');
  const head = answer.subarray(0, Math.max(0, headEnd)).toString('latin1');
  const body = answer.subarray(headEnd + 4);
  record(
    `request ${attempt}: ${head.split('\r\n')[0]}, ${body.length} bytes of body, then ${ending}`,
  );
  return { attempt, body, ending, head };
}
