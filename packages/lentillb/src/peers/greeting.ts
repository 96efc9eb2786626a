/** What nodes tell each other in datagrams: that they are there, and how new their knowledge is. */

/** Why a greeting is sent. */
export const GreetingKind = { Ask: 1, Answer: 2 } as const;
export type GreetingKind = (typeof GreetingKind)[keyof typeof GreetingKind];

/** One datagram. */
export interface Greeting {
  readonly kind: GreetingKind;
  /** Whether the sender reads the store, and the store answers it. */
  readonly readsStore: boolean;
  /** The configuration version in force at the sender. */
  readonly configurationVersion: number;
  /** A digest of the announcements the sender holds. */
  readonly directoryDigest: number;
}

const MAGIC = 0x6c;
const LENGTH = 10;
const READS_STORE = 0x10;
const VERSION_AT = 2;
const DIGEST_AT = 6;

const kinds = Object.values(GreetingKind);

/**
 * @param greeting - a greeting
 * @returns its encoding
 */
export function encodeGreeting(greeting: Greeting): Buffer {
  const bytes = Buffer.alloc(LENGTH);
  bytes.writeUInt8(MAGIC, 0);
  bytes.writeUInt8(greeting.kind + (greeting.readsStore ? READS_STORE : 0), 1);
  bytes.writeUInt32BE(greeting.configurationVersion, VERSION_AT);
  bytes.writeUInt32BE(greeting.directoryDigest, DIGEST_AT);
  return bytes;
}

/**
 * @param bytes - a datagram
 * @returns the greeting; undefined where it is none
 */
export function decodeGreeting(bytes: Buffer): Greeting | undefined {
  if (bytes.length !== LENGTH || bytes[0] !== MAGIC) {
    return undefined;
  }
  const flags = bytes.readUInt8(1);
  const kind = kinds.find((one) => one === flags % READS_STORE);
  return kind === undefined
    ? undefined
    : {
        kind,
        readsStore: flags >= READS_STORE,
        configurationVersion: bytes.readUInt32BE(VERSION_AT),
        directoryDigest: bytes.readUInt32BE(DIGEST_AT),
      };
}
