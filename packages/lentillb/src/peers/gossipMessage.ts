/** Encodes the datagrams by which nodes report that they run and how recent their state is. */

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
}

const MAGIC = 0x6c;
const MESSAGE_BYTES = 14;
const READS_STORE_FLAG = 0x10;
const VERSION_OFFSET = 2;
const DIGEST_OFFSET = 6;
const ERA_OFFSET = 10;

const kinds = Object.values(GossipMessageKind);

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
  return bytes;
}

/**
 * Decodes a gossip message.
 *
 * @param bytes - the datagram
 * @returns the message, or undefined if the datagram is not a gossip message
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
        storeEra: bytes.readUInt32BE(ERA_OFFSET),
      };
}
