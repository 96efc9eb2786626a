/** Encodes the datagrams by which nodes ask for leases, grant them and choose allocators. */

const MAGIC = 0x71;
const HEAD_OFFSET = 3;
/** The maximum number of customers in a message, so that it fits into one packet. */
export const MAX_CUSTOMERS_PER_MESSAGE = 60;

/** The answers to a poll. */
export const VoteAnswer = {
  Refused: 0,
  /** The voter supports the candidate, and no other until its promise ends. */
  Promised: 1,
  /** As `Promised`, but the voter started so recently that it may have promised before its start. */
  PromisedAfterStart: 2,
} as const;
export type VoteAnswer = (typeof VoteAnswer)[keyof typeof VoteAnswer];

/** The kinds of messages. */
export const AllotmentMessageKind = {
  Report: 1,
  Reply: 2,
  Poll: 3,
  Vote: 4,
  Query: 5,
  Redirect: 6,
} as const;

/** What a host reports of one customer. */
export interface ReportedCustomer {
  readonly customerHash: number;
  /** The measured demand, in requests per second. */
  readonly demand: number;
  /** The rate of the lease, per second, or the reserve while the host may use it. */
  readonly rate: number;
  /** The rate that the host may use while it can't reach an allocator, per second. */
  readonly reserve: number;
  /** The requests that wait for tokens. */
  readonly waiting: number;
}

/** What an allocator grants a host for one customer. */
export interface GrantedCustomer {
  readonly customerHash: number;
  /** The rate of the lease, per second. */
  readonly rate: number;
  /** The rate that the host may use while it can't reach an allocator, per second; at least `rate`. */
  readonly reserve: number;
  /** Tokens for waiting requests, in addition to the lease. */
  readonly tokens: number;
}

/** The demand and the leases of a host; answers a query, too. */
export interface ReportMessage {
  readonly kind: typeof AllotmentMessageKind.Report;
  readonly group: number;
  /** Identifies the process of the sender. */
  readonly processId: number;
  readonly sequence: number;
  /** The sequence number of the last report whose reply was applied; earlier replies no longer are. */
  readonly applied: number;
  /**
   * The hash of the hosts that the sender knows, if all its leases of the group are contained, so that
   * it holds no others; 0 otherwise.
   */
  readonly membersHash: number;
  readonly customers: readonly ReportedCustomer[];
}

/** The reply to a report, for the process that sent it. */
export interface ReplyMessage {
  readonly kind: typeof AllotmentMessageKind.Reply;
  readonly group: number;
  readonly processId: number;
  readonly sequence: number;
  readonly customers: readonly GrantedCustomer[];
}

/** Asks a voter to support the sender as the allocator of a group. */
export interface PollMessage {
  readonly kind: typeof AllotmentMessageKind.Poll;
  readonly group: number;
  readonly round: number;
  /** The hash of the voters' addresses. */
  readonly votersHash: number;
  /** 1 if all voters support the sender. */
  readonly unanimous: number;
}

/** The answer to a poll. */
export interface VoteMessage {
  readonly kind: typeof AllotmentMessageKind.Vote;
  readonly group: number;
  readonly round: number;
  readonly answer: number;
  /** The hash of the host that the voter supports; 0 if it supports none. */
  readonly supportedHash: number;
}

/** Asks a host to report all its leases of a group to the sender. */
export interface QueryMessage {
  readonly kind: typeof AllotmentMessageKind.Query;
  readonly group: number;
}

/** Answers a report at a host that is not the allocator. */
export interface RedirectMessage {
  readonly kind: typeof AllotmentMessageKind.Redirect;
  readonly group: number;
  /** The hash of the host that may be; 0 if the sender knows none. */
  readonly supportedHash: number;
}

/** A message about allotments. */
export type AllotmentMessage =
  PollMessage | QueryMessage | RedirectMessage | ReplyMessage | ReportMessage | VoteMessage;

interface Field {
  readonly bytes: number;
  readonly write: (buffer: Buffer, value: number, offset: number) => void;
  readonly read: (buffer: Buffer, offset: number) => number;
}

const MAX_UINT16 = 0xffff;
/** The greatest number in a message; greater rates would make the sums of an allocator inexact. */
const MAX_UINT32 = 0xffffffff;
const uint16: Field = {
  bytes: 2,
  write: (buffer, value, offset) => buffer.writeUInt16BE(Math.min(value, MAX_UINT16), offset),
  read: (buffer, offset) => buffer.readUInt16BE(offset),
};
const uint32: Field = {
  bytes: 4,
  write: (buffer, value, offset) => buffer.writeUInt32BE(value, offset),
  read: (buffer, offset) => buffer.readUInt32BE(offset),
};
const decimal: Field = {
  bytes: 4,
  write: (buffer, value, offset) => buffer.writeFloatBE(value, offset),
  read: (buffer, offset) => buffer.readFloatBE(offset),
};

type Fields = readonly (readonly [name: string, field: Field])[];

interface Layout {
  readonly head: Fields;
  /** The fields of each customer; undefined if the message has none. */
  readonly customer?: Fields;
}

const layouts: Readonly<Record<number, Layout>> = {
  [AllotmentMessageKind.Report]: {
    head: [
      ['processId', uint32],
      ['sequence', uint32],
      ['applied', uint32],
      ['membersHash', uint32],
    ],
    customer: [
      ['customerHash', uint32],
      ['demand', decimal],
      ['rate', decimal],
      ['reserve', decimal],
      ['waiting', uint16],
    ],
  },
  [AllotmentMessageKind.Reply]: {
    head: [
      ['processId', uint32],
      ['sequence', uint32],
    ],
    customer: [
      ['customerHash', uint32],
      ['rate', decimal],
      ['reserve', decimal],
      ['tokens', uint16],
    ],
  },
  [AllotmentMessageKind.Poll]: {
    head: [
      ['round', uint32],
      ['votersHash', uint32],
      ['unanimous', uint16],
    ],
  },
  [AllotmentMessageKind.Vote]: {
    head: [
      ['round', uint32],
      ['answer', uint16],
      ['supportedHash', uint32],
    ],
  },
  [AllotmentMessageKind.Query]: { head: [] },
  [AllotmentMessageKind.Redirect]: { head: [['supportedHash', uint32]] },
};

function lengthOf(fields: Fields): number {
  return fields.reduce((sum, [, { bytes }]) => sum + bytes, 0);
}

function writeFields(buffer: Buffer, start: number, fields: Fields, values: object): number {
  return fields.reduce((offset, [name, field]) => {
    field.write(buffer, (values as Record<string, number>)[name] ?? 0, offset);
    return offset + field.bytes;
  }, start);
}

function readFields(buffer: Buffer, start: number, fields: Fields): Record<string, number> {
  let offset = start;
  return Object.fromEntries(
    fields.map(([name, field]) => {
      const value = field.read(buffer, offset);
      offset += field.bytes;
      return [name, value];
    }),
  );
}

/**
 * Encodes a message.
 *
 * @param message - the message
 * @returns the datagram
 */
export function encodeAllotmentMessage(message: AllotmentMessage): Buffer {
  const { head, customer = [] } = layouts[message.kind] as Layout;
  const customers: readonly object[] = 'customers' in message ? message.customers : [];
  const bytes = HEAD_OFFSET + lengthOf(head) + customers.length * lengthOf(customer);
  const buffer = Buffer.alloc(bytes);
  buffer.set([MAGIC, message.kind, message.group]);
  const end = writeFields(buffer, HEAD_OFFSET, head, message);
  customers.reduce<number>((offset, values) => writeFields(buffer, offset, customer, values), end);
  return buffer;
}

/**
 * Decodes a message.
 *
 * @param buffer - the datagram
 * @returns the message, or undefined if it is none or has numbers that no node sends
 */
export function decodeAllotmentMessage(buffer: Buffer): AllotmentMessage | undefined {
  const [magic, kind = 0, group] = buffer;
  const layout = layouts[kind];
  if (magic !== MAGIC || layout === undefined || buffer.length < HEAD_OFFSET) {
    return undefined;
  }
  const start = HEAD_OFFSET + lengthOf(layout.head);
  const customerBytes = lengthOf(layout.customer ?? []);
  const restBytes = buffer.length - start;
  const count = customerBytes === 0 ? 0 : restBytes / customerBytes;
  if (restBytes !== count * customerBytes || restBytes < 0 || !Number.isInteger(count)) {
    return undefined;
  }
  const customers = Array.from({ length: count }, (_, index) =>
    readFields(buffer, start + index * customerBytes, layout.customer ?? []),
  );
  const isValid = customers.every((values) =>
    Object.values(values).every((value) => value >= 0 && value <= MAX_UINT32),
  );
  const head = readFields(buffer, HEAD_OFFSET, layout.head);
  return isValid
    ? ({
        kind,
        group,
        ...head,
        ...(layout.customer === undefined ? {} : { customers }),
      } as unknown as AllotmentMessage)
    : undefined;
}
