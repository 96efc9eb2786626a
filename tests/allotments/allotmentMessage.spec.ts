import fc from 'fast-check';
import type { AllotmentMessage } from 'lentillb/allotments/allotmentMessage.js';
import {
  AllotmentMessageKind,
  decodeAllotmentMessage,
  encodeAllotmentMessage,
  MAX_CUSTOMERS_PER_MESSAGE,
  VoteAnswer,
} from 'lentillb/allotments/allotmentMessage.js';
import { describe, expect, it } from 'vitest';

const GROUP = 3;
/** The longest datagram that is never split on the way. */
const MAX_PACKET_BYTES = 1_400;
const reported = { customerHash: 2 ** 32 - 1, demand: 1.5, rate: 2.25, reserve: 3, waiting: 7 };
const report: AllotmentMessage = {
  kind: AllotmentMessageKind.Report,
  group: GROUP,
  processId: 1,
  sequence: 2,
  applied: 1,
  membersHash: 9,
  customers: [reported, { ...reported, customerHash: 5 }],
};
const messages: readonly AllotmentMessage[] = [
  report,
  {
    kind: AllotmentMessageKind.Reply,
    group: GROUP,
    processId: 1,
    sequence: 2,
    customers: [{ customerHash: 5, rate: 0.5, reserve: 1, tokens: 2 }],
  },
  { kind: AllotmentMessageKind.Poll, group: GROUP, round: 4, votersHash: 5, unanimous: 1 },
  {
    kind: AllotmentMessageKind.Vote,
    group: GROUP,
    round: 4,
    answer: VoteAnswer.Promised,
    supportedHash: 6,
  },
  { kind: AllotmentMessageKind.Query, group: GROUP },
  { kind: AllotmentMessageKind.Redirect, group: GROUP, supportedHash: 6 },
];

describe('datagrams about quotas', () => {
  it.each(messages)('should be decoded as they were encoded (kind $kind)', (message) => {
    expect(decodeAllotmentMessage(encodeAllotmentMessage(message))).toEqual(message);
  });

  it('should fit into one packet', () => {
    const customers = Array.from({ length: MAX_CUSTOMERS_PER_MESSAGE }, () => reported);
    const bytes = encodeAllotmentMessage({ ...report, customers });
    expect(bytes.length).toBeLessThan(MAX_PACKET_BYTES);
  });

  // A rate that is not a number would make every sum of an allocator one.
  it.each([NaN, -1, Infinity])('should be ignored with a rate of %d', (rate) => {
    const customers = [{ ...reported, rate }];
    const bytes = encodeAllotmentMessage({ ...report, customers });
    expect(decodeAllotmentMessage(bytes)).toBeUndefined();
  });

  it('should be ignored if they were cut', () => {
    messages.forEach((message) => {
      const bytes = encodeAllotmentMessage(message);
      for (let end = 0; end < bytes.length; end += 1) {
        const cut = decodeAllotmentMessage(bytes.subarray(0, end));
        expect(cut === undefined || 'customers' in cut).toBe(true);
      }
    });
  });

  it('should never throw', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (tail) => {
        for (let kind = 0; kind < 8; kind += 1) {
          decodeAllotmentMessage(Buffer.from([0x71, kind, ...tail]));
        }
      }),
    );
  });
});
