/** What nodes tell each other in datagrams: that they are there, and how new their knowledge is. */

/** Why a greeting is sent. */
export const GossipMessageKind = { Ping: 1, Status: 2 } as const;
export type GossipMessageKind = (typeof GossipMessageKind)[keyof typeof GossipMessageKind];

/** One datagram. */
export interface GossipMessage {
  readonly kind: GossipMessageKind;
  /** Whether the sender reads the store, and the store answers it. */
  readonly readsStore: boolean;
  /** The configuration version in force at the sender. */
  readonly configurationVersion: number;
  /** A digest of the announcements the sender holds. */
  readonly directoryDigest: number;
}

const MAGIC = 0x6c;
const MESSAGE_BYTES = 10;
const READS_STORE_FLAG = 0x10;
const VERSION_OFFSET = 2;
const DIGEST_OFFSET = 6;

const kinds = Object.values(GossipMessageKind);

/**
 * @param message - a greeting
 * @returns its encoding
 */
export function encodeGossipMessage(message: GossipMessage): Buffer {
  const bytes = Buffer.alloc(MESSAGE_BYTES);
  bytes.writeUInt8(MAGIC, 0);
  bytes.writeUInt8(message.kind + (message.readsStore ? READS_STORE_FLAG : 0), 1);
  bytes.writeUInt32BE(message.configurationVersion, VERSION_OFFSET);
  bytes.writeUInt32BE(message.directoryDigest, DIGEST_OFFSET);
  return bytes;
}

/**
 * @param bytes - a datagram
 * @returns the greeting; undefined where it is none
 */
export function decodeGossipMessage(bytes: Buffer): GossipMessage | undefined {
  if (bytes.length !== MESSAGE_BYTES || bytes[0] !== MAGIC) {
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
      };
}
