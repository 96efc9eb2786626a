import { DeliveryState } from 'lentillb/directory/delivery.js';
import { ReceivedRequests } from 'lentillb/serving/receivedRequests.js';
import { expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

it('should not deny a request of an earlier process because another with its identity was refused', () => {
  const received = new ReceivedRequests(new ManualClock());
  received.admit('1 r');
  received.recordEnd('1 r', false);
  expect(received.inquire('1 r', false)).toBe(DeliveryState.NotArrived);
  expect(received.admit('1 r')).toBe(true);
});

it('should deny a request that it has refused, and refuse it from then on', () => {
  const received = new ReceivedRequests(new ManualClock());
  received.admit('1 r');
  received.recordEnd('1 r', false);
  expect(received.inquire('1 r', true)).toBe(DeliveryState.NotRun);
  expect(received.admit('1 r')).toBe(false);
});
