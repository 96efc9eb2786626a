import fc from 'fast-check';
import { DeliveryState } from 'lentillb/directory/delivery.js';
import {
  decodeDeliveryInquiry,
  decodeDeliveryReply,
  encodeDeliveryInquiry,
  encodeDeliveryReply,
} from 'lentillb/peers/deliveryMessage.js';
import { decodeGossipMessage } from 'lentillb/peers/gossipMessage.js';
import { decodeSuspectReports } from 'lentillb/peers/suspectReportMessage.js';
import { describe, expect, it } from 'vitest';

const keys = fc
  .array(fc.integer({ min: 33, max: 126 }), { minLength: 1, maxLength: 200 })
  .map((codes) => String.fromCharCode(...codes));

describe('messages about deliveries', () => {
  it('should be decoded as they were encoded, and as no other message', () => {
    fc.assert(
      fc.property(
        keys,
        fc.constantFrom(...Object.values(DeliveryState)),
        fc.integer({ min: 0, max: 2 ** 32 - 1 }),
        (key, state, processId) => {
          const inquiry = encodeDeliveryInquiry(key);
          const reply = encodeDeliveryReply({ key, state, processId });
          expect(decodeDeliveryInquiry(inquiry)).toBe(key);
          expect(decodeDeliveryReply(reply)).toEqual({ key, state, processId });
          expect(decodeDeliveryReply(inquiry)).toBeUndefined();
          expect(decodeDeliveryInquiry(reply)).toBeUndefined();
          [inquiry, reply].forEach((bytes) => {
            expect(decodeGossipMessage(bytes)).toBeUndefined();
            expect(decodeSuspectReports(bytes)).toBeUndefined();
          });
        },
      ),
    );
  });

  it('should not decode arbitrary bytes into something without a key', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 700 }), (bytes) => {
        const datagram = Buffer.from(bytes);
        [0x6e, 0x6f].forEach((magic) => {
          const named = Buffer.concat([Buffer.from([magic]), datagram]);
          const key = decodeDeliveryInquiry(named) ?? decodeDeliveryReply(named)?.key;
          expect(key === undefined || (key.length > 0 && key.length <= 512)).toBe(true);
        });
      }),
    );
  });
});
