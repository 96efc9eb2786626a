/**
 * Encodes the datagrams by which nodes report that they run, how recent their state is, and how loaded
 * gates are.
 */
import type { GateLoad, HostGateLoad, RouteServiceTime } from '../directory/gateLoad.js';
import { Topic } from '../store/keyedStore.js';

/** The kinds of gossip messages. A ping asks for a status message; a status message expects no reply. */
export const GossipMessageKind = { Ping: 1, Status: 2 } as const;
export type GossipMessageKind = (typeof GossipMessageKind)[keyof typeof GossipMessageKind];

/** The content of one gossip datagram. */
export interface GossipMessage {
  readonly kind: GossipMessageKind;
  /**
   * Whether the sender reads the store and gets answers from it; for older nodes, which do not know the
   * ages of reads.
   */
  readonly readsStore: boolean;
  /** The configuration version in force at the sender. */
  readonly configurationVersion: number;
  /** A digest of the announcements that the sender holds. */
  readonly directoryDigest: number;
  /** The era of the store, as far as the sender knows; 0 if it does not. */
  readonly storeEra: number;
  /** How long ago the sender itself read each topic of the store, in milliseconds. */
  readonly readAgesMs: Readonly<Record<Topic, number>>;
  /** The loads of gates: that of the sender, or those of its zone if the sender collects them. */
  readonly gateLoads: readonly HostGateLoad[];
}

const MAGIC = 0x6c;
const MESSAGE_BYTES = 14;
const READS_STORE_FLAG = 0x10;
const VERSION_OFFSET = 2;
const DIGEST_OFFSET = 6;
const ERA_OFFSET = 10;

// Of each gate: the hash of the host, the load, the share of failures, the number of service times.
const LOAD_OFFSET = 4;
const FAILURE_SHARE_OFFSET = 6;
const TIME_COUNT_OFFSET = 7;
const GATE_BYTES = 8;
const FAILURE_SHARE_STEPS = 255;
const SERVICE_TIME_BYTES = 6;
/** The maximum number of service times of one gate in a message. */
const MAX_SERVICE_TIMES = 4;
/** The maximum number of gates in a message, so that it fits into one packet with two times each. */
export const MAX_GATES_PER_MESSAGE = 60;
const MAX_UINT16 = 0xffff;

/**
 * The route hash under which the limit of a gate is sent, in tenths of a request per second. Nodes
 * that do not know limits take it for the service time of an unknown route.
 */
const LIMIT_HASH = 0;
const LIMIT_STEPS = 10;

/**
 * The host hash under which the ages of reads are sent, in place of the load of a gate. Nodes that do
 * not know them take them for the load of an unknown host.
 */
const READ_AGES_HASH = 0;
/** The age that stands for none, or for a longer one, in milliseconds. */
const UNKNOWN_AGE_MS = 0xffff;
/** The hash of the service time that carries the age of the hosts. */
const HOSTS_AGE_HASH = 1;

const kinds = Object.values(GossipMessageKind);

function encodeLimit(limitPerSecond: number | undefined): readonly RouteServiceTime[] {
  return limitPerSecond === undefined
    ? []
    : [{ routeHash: LIMIT_HASH, meanMs: limitPerSecond * LIMIT_STEPS }];
}

function decodeLimit(times: readonly RouteServiceTime[]): Pick<GateLoad, 'limitPerSecond'> {
  const limit = times.find(({ routeHash }) => routeHash === LIMIT_HASH);
  return limit === undefined ? {} : { limitPerSecond: limit.meanMs / LIMIT_STEPS };
}

function encodeGateLoad(gateLoad: HostGateLoad): Buffer {
  const { failureShare, hostHash, limitPerSecond, load, serviceTimes } = gateLoad;
  const times = [...encodeLimit(limitPerSecond), ...serviceTimes].slice(0, MAX_SERVICE_TIMES);
  const bytes = Buffer.alloc(GATE_BYTES + times.length * SERVICE_TIME_BYTES);
  bytes.writeUInt32BE(hostHash, 0);
  bytes.writeUInt16BE(Math.min(MAX_UINT16, load), LOAD_OFFSET);
  bytes.writeUInt8(Math.round(failureShare * FAILURE_SHARE_STEPS), FAILURE_SHARE_OFFSET);
  bytes.writeUInt8(times.length, TIME_COUNT_OFFSET);
  times.forEach(({ meanMs, routeHash }, index) => {
    const offset = GATE_BYTES + index * SERVICE_TIME_BYTES;
    bytes.writeUInt32BE(routeHash, offset);
    bytes.writeUInt16BE(Math.min(MAX_UINT16, Math.round(meanMs)), offset + 4);
  });
  return bytes;
}

/** Encodes the ages of reads; nothing if the sender does not read. */
function encodeReadAges({ readAgesMs }: GossipMessage): readonly Buffer[] {
  const [load, meanMs] = [Topic.Operator, Topic.Hosts].map((topic) =>
    Math.max(0, Math.min(UNKNOWN_AGE_MS, Math.ceil(readAgesMs[topic]))),
  ) as [number, number];
  const serviceTimes = [{ routeHash: HOSTS_AGE_HASH, meanMs }];
  return load === UNKNOWN_AGE_MS && meanMs === UNKNOWN_AGE_MS
    ? []
    : [encodeGateLoad({ hostHash: READ_AGES_HASH, load, failureShare: 0, serviceTimes })];
}

function decodeReadAges(loads: readonly HostGateLoad[]): GossipMessage['readAgesMs'] {
  const ages = loads.find(({ hostHash }) => hostHash === READ_AGES_HASH);
  const decodeAge = (ageMs = UNKNOWN_AGE_MS): number =>
    ageMs === UNKNOWN_AGE_MS ? Infinity : ageMs;
  return {
    [Topic.Operator]: decodeAge(ages?.load),
    [Topic.Hosts]: decodeAge(ages?.serviceTimes[0]?.meanMs),
  };
}

/** Returns the length of the encoded load of a gate; undefined if it is cut off or too long. */
function gateLoadLength(bytes: Buffer): number | undefined {
  const times = bytes.length < GATE_BYTES ? Infinity : bytes.readUInt8(TIME_COUNT_OFFSET);
  const length = GATE_BYTES + times * SERVICE_TIME_BYTES;
  return times <= MAX_SERVICE_TIMES && length <= bytes.length ? length : undefined;
}

function decodeGateLoad(bytes: Buffer): HostGateLoad {
  const times = Array.from({ length: bytes.readUInt8(TIME_COUNT_OFFSET) }, (_, index) => {
    const offset = GATE_BYTES + index * SERVICE_TIME_BYTES;
    return { routeHash: bytes.readUInt32BE(offset), meanMs: bytes.readUInt16BE(offset + 4) };
  });
  return {
    hostHash: bytes.readUInt32BE(0),
    load: bytes.readUInt16BE(LOAD_OFFSET),
    failureShare: bytes.readUInt8(FAILURE_SHARE_OFFSET) / FAILURE_SHARE_STEPS,
    serviceTimes: times.filter(({ routeHash }) => routeHash !== LIMIT_HASH),
    ...decodeLimit(times),
  };
}

function decodeGateLoads(bytes: Buffer): readonly HostGateLoad[] | undefined {
  const loads: HostGateLoad[] = [];
  let rest = bytes;
  while (rest.length > 0) {
    const length = gateLoadLength(rest);
    if (length === undefined) {
      return undefined;
    }
    loads.push(decodeGateLoad(rest.subarray(0, length)));
    rest = rest.subarray(length);
  }
  return loads;
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
  const loads = message.gateLoads.slice(0, MAX_GATES_PER_MESSAGE);
  return Buffer.concat([bytes, ...encodeReadAges(message), ...loads.map(encodeGateLoad)]);
}

/**
 * Decodes a gossip message.
 *
 * @param bytes - the datagram
 * @returns the message, or undefined if the datagram is not a gossip message
 */
export function decodeGossipMessage(bytes: Buffer): GossipMessage | undefined {
  if (bytes.length < MESSAGE_BYTES || bytes[0] !== MAGIC) {
    return undefined;
  }
  const flags = bytes.readUInt8(1);
  const kind = kinds.find((candidate) => candidate === flags % READS_STORE_FLAG);
  const gateLoads = decodeGateLoads(bytes.subarray(MESSAGE_BYTES));
  return kind === undefined || gateLoads === undefined
    ? undefined
    : {
        kind,
        readsStore: flags >= READS_STORE_FLAG,
        configurationVersion: bytes.readUInt32BE(VERSION_OFFSET),
        directoryDigest: bytes.readUInt32BE(DIGEST_OFFSET),
        storeEra: bytes.readUInt32BE(ERA_OFFSET),
        readAgesMs: decodeReadAges(gateLoads),
        gateLoads: gateLoads.filter(({ hostHash }) => hostHash !== READ_AGES_HASH),
      };
}
