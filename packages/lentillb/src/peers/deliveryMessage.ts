/** Encodes the datagrams by which a node asks what has become of a request that it has sent. */
import type { DeliveryReply } from '../directory/delivery.js';
import { DeliveryState } from '../directory/delivery.js';

const INQUIRY_MAGIC = 0x6e;
const REPLY_MAGIC = 0x6f;
const STATE_OFFSET = 1;
const PROCESS_OFFSET = 2;
const INQUIRY_KEY_OFFSET = 1;
const REPLY_KEY_OFFSET = 6;
/** The maximum length of a key, so that a message fits into one packet. */
const MAX_KEY_BYTES = 512;

const stateCodes: Readonly<Record<DeliveryState, number>> = {
  [DeliveryState.NotRun]: 1,
  [DeliveryState.InProgress]: 2,
  [DeliveryState.Ended]: 3,
};

function decodeKey(bytes: Buffer, offset: number): string | undefined {
  const length = bytes.length - offset;
  return length > 0 && length <= MAX_KEY_BYTES ? bytes.toString('latin1', offset) : undefined;
}

/**
 * Encodes the question what has become of a request.
 *
 * @param key - the key under which the request was sent
 * @returns the datagram
 */
export function encodeDeliveryInquiry(key: string): Buffer {
  return Buffer.concat([Buffer.from([INQUIRY_MAGIC]), Buffer.from(key, 'latin1')]);
}

/**
 * Decodes the question what has become of a request.
 *
 * @param bytes - the datagram
 * @returns the key of the request, or undefined if the datagram asks for none
 */
export function decodeDeliveryInquiry(bytes: Buffer): string | undefined {
  return bytes[0] === INQUIRY_MAGIC ? decodeKey(bytes, INQUIRY_KEY_OFFSET) : undefined;
}

/**
 * Encodes a reply.
 *
 * @param reply - what has become of the request
 * @returns the datagram
 */
export function encodeDeliveryReply({ key, processId, state }: DeliveryReply): Buffer {
  const head = Buffer.alloc(REPLY_KEY_OFFSET);
  head.writeUInt8(REPLY_MAGIC, 0);
  head.writeUInt8(stateCodes[state], STATE_OFFSET);
  head.writeUInt32BE(processId, PROCESS_OFFSET);
  return Buffer.concat([head, Buffer.from(key, 'latin1')]);
}

/**
 * Decodes a reply.
 *
 * @param bytes - the datagram
 * @returns the reply, or undefined if the datagram is none that this node understands
 */
export function decodeDeliveryReply(bytes: Buffer): DeliveryReply | undefined {
  if (bytes[0] !== REPLY_MAGIC || bytes.length <= REPLY_KEY_OFFSET) {
    return undefined;
  }
  const key = decodeKey(bytes, REPLY_KEY_OFFSET);
  const code = bytes.readUInt8(STATE_OFFSET);
  const state = Object.values(DeliveryState).find((one) => stateCodes[one] === code);
  const processId = bytes.readUInt32BE(PROCESS_OFFSET);
  return key === undefined || state === undefined ? undefined : { key, state, processId };
}
