import type { AllotmentMessage, ReportMessage } from 'lentillb/allotments/allotmentMessage.js';
import { AllotmentMessageKind } from 'lentillb/allotments/allotmentMessage.js';
import { CustomerLease } from 'lentillb/allotments/customerLease.js';
import { GroupReporter } from 'lentillb/allotments/groupReporter.js';
import { DEFAULT_QUOTA_TERMS, deriveQuota } from 'lentillb/allotments/quotaTerms.js';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import { SeededRandomness } from 'lentillb';
import { beforeEach, describe, expect, it } from 'vitest';
import { createCustomer } from './quotaFleet.js';

const PROCESS_ID = 8;
const SEED = 3;
const GRANT = { customerHash: 1, rate: 5, reserve: 9, tokens: 0 };
const quota = deriveQuota(createCustomer('c', 44), 1, DEFAULT_QUOTA_TERMS);

let clock: EventClock;
let sent: [string, ReportMessage][];
let reporter: GroupReporter;
let lease: CustomerLease;

function reply(sequence: number, rate = GRANT.rate): void {
  const customers = [{ ...GRANT, rate }];
  const kind = AllotmentMessageKind.Reply;
  reporter.receiveReply('a', { kind, group: 0, processId: PROCESS_ID, sequence, customers });
}

beforeEach(() => {
  clock = new EventClock();
  sent = [];
  reporter = new GroupReporter(
    {
      clock,
      processId: PROCESS_ID,
      voters: () => ['a', 'b'],
      send: (host: string, message: AllotmentMessage) =>
        sent.push([host, message as ReportMessage]),
    },
    0,
  );
  lease = new CustomerLease(
    {
      clock,
      randomness: new SeededRandomness(SEED),
      ask: () => undefined,
      isCutOff: () => reporter.isCutOff,
      isUnanswered: () => reporter.isUnanswered,
    },
    quota,
  );
  reporter.leases.set(1, lease);
  lease.admit();
  reporter.report();
  reply(1);
});

describe('reports of an entry', () => {
  // An allocator that received the last report of a lower rate counts the reserve 2.2 s later.
  it('should state the reserve before it is used', async () => {
    const usedAtMs: number[] = [];
    for (let timeMs = 500; timeMs <= 5_000; timeMs += 500) {
      await clock.runUntil(timeMs);
      reporter.report();
      if (reporter.isCutOff) {
        usedAtMs.push(timeMs);
      }
    }
    const statedAtMs = 500 * sent.findLastIndex(([, { customers }]) => customers[0]?.rate === 5);
    expect(statedAtMs).toBeGreaterThan(0);
    expect(usedAtMs[0]).toBeGreaterThan(statedAtMs + 2_200);
    expect(usedAtMs[0]).toBeLessThanOrEqual(4_000);
    expect(sent.at(-1)?.[1].customers[0]).toMatchObject({ rate: 9, reserve: 9 });
  });

  it('should go to another host if they are not answered', async () => {
    await clock.runUntil(1_000);
    reporter.report();
    await clock.runUntil(2_000);
    reporter.report();
    expect(sent.map(([host]) => host)).toEqual(['a', 'a', 'b']);
  });

  // A new allocator of the same host counts what was answered, not what a late reply would grant.
  it('should not be followed by replies to those before a query', () => {
    reporter.report();
    reporter.receiveQuery('a', 1);
    reply(2, 8);
    expect(lease.held.rate).toBe(5);
    reporter.report();
    reply(4, 8);
    expect(lease.held.rate).toBe(8);
  });

  it('should end the lease ten seconds after the entry asked', async () => {
    await clock.runUntil(9_900);
    expect(lease.held.reserve).toBe(9);
    await clock.runUntil(10_000);
    expect(lease.held.reserve).toBe(0);
  });
});
