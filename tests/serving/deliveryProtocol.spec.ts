import fc from 'fast-check';
import { DeliveryState } from 'lentillb/directory/delivery.js';
import {
  decodeQuestions,
  decodeStates,
  encodeQuestions,
  encodeStates,
} from 'lentillb/serving/deliveryProtocol.js';
import { expect, it } from 'vitest';

const MAX_PROCESS = 2 ** 32 - 1;

const keys = fc
  .string({ unit: 'binary-ascii', minLength: 1, maxLength: 400 })
  .filter((key) => !/[\r\n]/.test(key));
const questions = fc.record({
  key: keys.map((key) => `1 ${key}`),
  processId: fc.option(fc.integer({ min: 0, max: MAX_PROCESS }), { nil: undefined }),
});

it('should decode the questions that were encoded', () => {
  fc.assert(
    fc.property(fc.array(questions, { minLength: 1, maxLength: 10 }), (asked) => {
      expect(decodeQuestions(encodeQuestions(asked))).toEqual(asked);
    }),
  );
});

it('should decode the states that were encoded', () => {
  fc.assert(
    fc.property(fc.array(fc.constantFrom(...Object.values(DeliveryState))), (states) => {
      expect(decodeStates(encodeStates(states), states.length)).toEqual(states);
    }),
  );
});

it('should take no reply that is not of as many states as were asked for', () => {
  const bytes = encodeStates([DeliveryState.NotRun, DeliveryState.Ended]);
  expect(decodeStates(bytes, 1)).toBeUndefined();
  expect(decodeStates(bytes, 3)).toBeUndefined();
  expect(decodeStates(Buffer.from('n?'), 2)).toBeUndefined();
});

it('should take no inquiry that is not valid, whatever its bytes', () => {
  expect(decodeQuestions(Buffer.alloc(0))).toBeUndefined();
  expect(decodeQuestions(Buffer.from('a'))).toBeUndefined();
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      decodeQuestions(Buffer.from(bytes));
    }),
  );
});
