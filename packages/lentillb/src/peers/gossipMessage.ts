/**
 * Encodes the datagrams by which nodes report that they run, how recent their state is, and how loaded
 * the gate of their host is.
 */
import type { GateLoad } from '../directory/gateLoad.js';

/** The kinds of gossip messages. A ping asks for a status message; a status message expects no reply. */
export const GossipMessageKind = { Ping: 1, Status: 2 } as const;
export type GossipMessageKind = (typeof GossipMessageKind)[keyof typeof GossipMessageKind];

/** The content of one gossip datagram. */
export interface GossipMessage {
  readonly kind: GossipMessageKind;
  /** Whether the sender reads the store and gets answers from it. */
  readonly readsStore: boolean;
  /** The configuration version in force at the sender. */
  readonly configurationVersion: number;
  /** A digest of the announcements that the sender holds. */
  readonly directoryDigest: number;
  /** The era of the store, as far as the sender knows; 0 if it does not. */
  readonly storeEra: number;
  /** The load of the sender's gate; undefined if its backend server accepts no requests. */
  readonly gateLoad?: GateLoad | undefined;
}

const MAGIC = 0x6c;
const MESSAGE_BYTES = 14;
const READS_STORE_FLAG = 0x10;
const VERSION_OFFSET = 2;
const DIGEST_OFFSET = 6;
const ERA_OFFSET = 10;

const LOAD_OFFSET = MESSAGE_BYTES;
const LOAD_BYTES = 3;
const FAILURE_SHARE_STEPS = 255;
const SERVICE_TIMES_OFFSET = LOAD_OFFSET + LOAD_BYTES;
const SERVICE_TIME_BYTES = 6;
/** The maximum number of service times in a message. */
const MAX_SERVICE_TIMES = 4;
const MAX_UINT16 = 0xffff;

const kinds = Object.values(GossipMessageKind);

function encodeGateLoad({ failureShare, load, serviceTimes }: GateLoad): Buffer {
  const times = serviceTimes.slice(0, MAX_SERVICE_TIMES);
  const bytes = Buffer.alloc(LOAD_BYTES + times.length * SERVICE_TIME_BYTES);
  bytes.writeUInt16BE(Math.min(MAX_UINT16, load), 0);
  bytes.writeUInt8(Math.round(failureShare * FAILURE_SHARE_STEPS), 2);
  times.forEach(({ meanMs, routeHash }, index) => {
    const offset = LOAD_BYTES + index * SERVICE_TIME_BYTES;
    bytes.writeUInt32BE(routeHash, offset);
    bytes.writeUInt16BE(Math.min(MAX_UINT16, Math.round(meanMs)), offset + 4);
  });
  return bytes;
}

function decodeGateLoad(bytes: Buffer): GateLoad | undefined {
  if (bytes.length < SERVICE_TIMES_OFFSET) {
    return undefined;
  }
  const count = Math.floor((bytes.length - SERVICE_TIMES_OFFSET) / SERVICE_TIME_BYTES);
  return {
    load: bytes.readUInt16BE(LOAD_OFFSET),
    failureShare: bytes.readUInt8(LOAD_OFFSET + 2) / FAILURE_SHARE_STEPS,
    serviceTimes: Array.from({ length: count }, (_, index) => {
      const offset = SERVICE_TIMES_OFFSET + index * SERVICE_TIME_BYTES;
      return { routeHash: bytes.readUInt32BE(offset), meanMs: bytes.readUInt16BE(offset + 4) };
    }),
  };
}

function isValidLength(length: number): boolean {
  const timesLength = length - SERVICE_TIMES_OFFSET;
  return (
    length === MESSAGE_BYTES ||
    (timesLength >= 0 &&
      timesLength % SERVICE_TIME_BYTES === 0 &&
      timesLength <= MAX_SERVICE_TIMES * SERVICE_TIME_BYTES)
  );
}

/**
 * Encodes a gossip message.
 *
 * @param message - the message
 * @returns the datagram
 */
export function encodeGossipMessage(message: GossipMessage): Buffer {
  const bytes = Buffer.alloc(MESSAGE_BYTES);
  bytes.writeUInt8(MAGIC, 0);
  bytes.writeUInt8(message.kind + (message.readsStore ? READS_STORE_FLAG : 0), 1);
  bytes.writeUInt32BE(message.configurationVersion, VERSION_OFFSET);
  bytes.writeUInt32BE(message.directoryDigest, DIGEST_OFFSET);
  bytes.writeUInt32BE(message.storeEra, ERA_OFFSET);
  return message.gateLoad === undefined
    ? bytes
    : Buffer.concat([bytes, encodeGateLoad(message.gateLoad)]);
}

/**
 * Decodes a gossip message.
 *
 * @param bytes - the datagram
 * @returns the message, or undefined if the datagram is not a gossip message
 */
export function decodeGossipMessage(bytes: Buffer): GossipMessage | undefined {
  if (!isValidLength(bytes.length) || bytes[0] !== MAGIC) {
    return undefined;
  }
  const flags = bytes.readUInt8(1);
  const kind = kinds.find((candidate) => candidate === flags % READS_STORE_FLAG);
  return kind === undefined
    ? undefined
    : {
        kind,
        readsStore: flags >= READS_STORE_FLAG,
        configurationVersion: bytes.readUInt32BE(VERSION_OFFSET),
        directoryDigest: bytes.readUInt32BE(DIGEST_OFFSET),
        storeEra: bytes.readUInt32BE(ERA_OFFSET),
        gateLoad: decodeGateLoad(bytes),
      };
}
