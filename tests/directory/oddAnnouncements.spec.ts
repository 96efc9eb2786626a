import { checkAnnouncement, decodeAnnouncement } from 'lentillb/directory/announcement.js';
import { describe, expect, it } from 'vitest';

const VALID = {
  host: '10.0.0.1',
  zone: 'a',
  gateAddress: '10.0.0.1:7601',
  peerAddress: '10.0.0.1:7600',
  linkMegabits: 1_000,
  incarnation: 1_700_000_000_000,
  sequence: 3,
  backendServer: { id: 'i-1', startedAtMs: 1, service: 's', slots: 4, state: 'ready' },
  interruptedRuns: [{ contentHash: 'a'.repeat(24), runHash: 1, endedAtMs: 1 }],
};

const NUMBERS_TOO_LARGE = [1e300, 2 ** 64, 2 ** 53 - 1, -1];
const ADDRESSES = [
  '10.0.0.1:99999',
  '10.0.0.1:65536',
  '10.0.0.1:0',
  '10.0.0.1:-1',
  '10.0.0.1:7600.5',
  '10.0.0.1:1e3',
  '10.0.0.1:',
  '10.0.0.1',
  '10.0.0.300:7600',
  'somewhere:7600',
  ':7600',
  '',
  '10.0.0.1:7600\u0000',
];

function nested(depth: number): string {
  return `${'['.repeat(depth)}${']'.repeat(depth)}`;
}

describe('announcement of another writer', () => {
  it('should be taken as it is when it is valid', () => {
    expect(checkAnnouncement(VALID).unwrap()).toEqual(VALID);
  });

  it.each([
    ...['gateAddress', 'peerAddress'].flatMap((field) =>
      ADDRESSES.map((value): [string, unknown] => [field, value]),
    ),
    ...['incarnation', 'sequence', 'linkMegabits'].flatMap((field) =>
      NUMBERS_TOO_LARGE.map((value): [string, unknown] => [field, value]),
    ),
    ['incarnation', 1.5],
    ['sequence', 1.5],
    ['host', ''],
    ['host', 'h'.repeat(256)],
    ['zone', 'z'.repeat(256)],
    ['zone', ''],
    ['backendServer', { ...VALID.backendServer, slots: 1e300 }],
    ['backendServer', { ...VALID.backendServer, slots: 0 }],
    ['backendServer', { ...VALID.backendServer, slots: 2.5 }],
    ['backendServer', { ...VALID.backendServer, startedAtMs: 1e300 }],
    ['backendServer', { ...VALID.backendServer, id: 'i'.repeat(256) }],
    ['backendServer', { ...VALID.backendServer, state: 'asleep' }],
    ['interruptedRuns', Array.from({ length: 65 }, () => VALID.interruptedRuns[0])],
    ['interruptedRuns', [{ ...VALID.interruptedRuns[0], endedAtMs: 2 ** 53 - 1 }]],
  ])('should be rejected with %s %j', (field, value) => {
    expect(checkAnnouncement({ ...VALID, [field]: value }).isErr()).toBe(true);
  });

  it.each([
    ['of another type', '7'],
    ['deeply nested', nested(200_000)],
    ['not closed', '['.repeat(200_000)],
    ['deeply nested in a field', JSON.stringify(VALID).replace('"a"', nested(200_000))],
    ['no JSON', '\u0000\u0001'],
    ['empty', ''],
  ])('should be rejected if it is %s', (_, text) => {
    expect(decodeAnnouncement(Buffer.from(text)).isErr()).toBe(true);
  });
});
