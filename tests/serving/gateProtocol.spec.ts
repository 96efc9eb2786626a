import fc from 'fast-check';
import { decodeReply } from 'lentillb/serving/gateProtocol.js';
import { describe, expect, it } from 'vitest';

const SEED = 5;

// Guards against statuses that no answer can have and that another host passes on, also late ones.
describe('reply of the gate of another host', () => {
  it('should be an answer only where its status is that of a final answer', () => {
    const reports = fc.constantFrom({}, { 'lentillb-r': '1 20' });
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 999 }), reports, (status, headers) => {
        const body = Buffer.from('ran');
        const { result } = decodeReply({ status, headers, body, onReusedConnection: false });
        if (status < 200 || status > 599) {
          expect(result.unwrapErr()).toEqual({ outcome: 'unknown', cause: 'broken-answer' });
        }
      }),
      {
        seed: SEED,
        numRuns: 2_000,
        examples: [
          [0, {}],
          [0, { 'lentillb-r': '1 20' }],
        ],
      },
    );
  });
});
