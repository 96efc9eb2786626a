/** Sends spoiled messages to processes, and checks that none of them would end. */
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import * as fc from 'fast-check';
import { expect } from 'vitest';
import { byteEdit } from './byteEdits.js';
import type { ByteEdit } from './byteEdits.js';
import type { UncaughtErrors } from './uncaughtErrors.js';

const SEED = 47;
const BATCHES = 12;
const BATCH_SIZE = 40;
/** The time after which a message that is not answered is given up, in milliseconds. */
const PATIENCE_MS = 60;
/** The same time for a message whose answer matters, in milliseconds. */
export const LONG_PATIENCE_MS = 5_000;

/**
 * Writes bytes to a new connection, and closes it once something has come back.
 *
 * @param address - the address and port of the receiver
 * @param bytes - the bytes
 * @param patienceMs - the time after which it is closed without an answer, in milliseconds
 * @returns the bytes that have come back
 */
export async function writeTo(
  address: string,
  bytes: Buffer,
  patienceMs = PATIENCE_MS,
): Promise<string> {
  const socket = connect(parseAddress(address));
  socket.on('error', () => undefined);
  const answered = new Promise((resolve) => {
    socket.once('data', resolve);
    socket.once('close', resolve);
  });
  socket.write(bytes);
  const answer = await Promise.race([answered, delay(patienceMs)]);
  socket.destroy();
  return String(answer);
}

/**
 * Plays seeded faults in batches, whose messages are sent at the same time.
 *
 * @param send - sends a message with a fault
 * @param errors - the errors that would end the process
 */
export async function playEdits(
  send: (edit: ByteEdit) => Promise<unknown>,
  errors: UncaughtErrors,
): Promise<void> {
  const batch = fc.array(byteEdit, { minLength: BATCH_SIZE, maxLength: BATCH_SIZE });
  await fc.assert(
    fc.asyncProperty(batch, async (edits) => {
      await Promise.all(edits.map(send));
      await delay(1);
      expect(errors.messages).toEqual([]);
    }),
    { seed: SEED, numRuns: BATCHES, endOnFailure: true },
  );
}
