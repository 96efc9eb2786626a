import { SeededRandomness } from 'lentillb';
import { Directory } from 'lentillb/directory/directory.js';
import type { SuspectReport } from 'lentillb/directory/suspectReport.js';
import { ReportSource, SuspectReportKind } from 'lentillb/directory/suspectReport.js';
import {
  decodeSuspectReports,
  encodeSuspectReports,
  MAX_REPORTS_PER_MESSAGE,
} from 'lentillb/peers/suspectReportMessage.js';
import { SuspectReportRelay } from 'lentillb/peers/suspectReportRelay.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const ZONES = 4;
const NODES_PER_ZONE = 12;
/** The time within which nodes that can reach each other must know of an end, in milliseconds. */
const CONTACT_MS = 3_000;
const MAX_PACKET_BYTES = 1_200;
/** Traffic between zones is charged. */
const MAX_MESSAGES_TO_OTHER_ZONE = 8;

function interrupted(index: number): SuspectReport {
  const contentHash = index.toString(16).padStart(24, '0');
  const runHash = 4_000_000_000 + index;
  const run = { contentHash, runHash, hostHash: index, endedAtMs: 1_800_000_000_000 };
  return { kind: SuspectReportKind.Interrupted, run };
}

interface Network {
  readonly relays: readonly SuspectReportRelay[];
  readonly known: readonly Set<string>[];
  /** Returns the number of messages that were sent, and of those between zones. */
  readonly sentCounts: () => { readonly all: number; readonly betweenZones: number };
}

/** Creates nodes that pass on reports that they did not know. */
function network(
  clock: ManualClock,
  { lossShare = 0, isCut = (_from: number, _to: number): boolean => false } = {},
): Network {
  const randomness = new SeededRandomness(7);
  const directory = new Directory();
  const hosts = Array.from({ length: ZONES * NODES_PER_ZONE }, (_, index) => `n${index}`);
  hosts.forEach((host, index) =>
    directory.merge({
      host,
      zone: `z${index % ZONES}`,
      gateAddress: `${host}:1`,
      peerAddress: host,
      incarnation: 1,
      sequence: 1,
    }),
  );
  const known = hosts.map(() => new Set<string>());
  const receivers: ((from: string, reports: readonly SuspectReport[]) => void)[] = [];
  let all = 0;
  let betweenZones = 0;
  const relays: SuspectReportRelay[] = hosts.map((host, index) => {
    const transport = {
      sendSuspectReports: (address: string, reports: readonly SuspectReport[]): void => {
        const to = hosts.indexOf(address);
        all += 1;
        betweenZones += index % ZONES === to % ZONES ? 0 : 1;
        const bytes = encodeSuspectReports(reports);
        expect(bytes.length).toBeLessThanOrEqual(MAX_PACKET_BYTES);
        if (!isCut(index, to) && randomness.fraction() >= lossShare) {
          clock.after(1, () => receivers[to]?.(host, decodeSuspectReports(bytes) ?? []));
        }
      },
    };
    return new SuspectReportRelay(
      { clock, randomness, directory, transport },
      { host, zone: `z${index % ZONES}` },
    );
  });
  relays.forEach((relay, node) => {
    receivers.push((from, reports) =>
      reports.forEach((report) => {
        const key = JSON.stringify(report);
        if (known[node]?.has(key) === false) {
          known[node]?.add(key);
          relay.spread(report, relay.sourceOf(from));
        }
      }),
    );
  });
  return { relays, known, sentCounts: () => ({ all, betweenZones }) };
}

function countKnowing({ known }: Network, report: SuspectReport): number {
  return known.filter((reports) => reports.has(JSON.stringify(report))).length;
}

describe('report about a suspect request', () => {
  it('should be decoded as it was encoded', () => {
    const reports: readonly SuspectReport[] = [
      interrupted(1),
      { kind: SuspectReportKind.Answered, contentHash: 'ffeeddccbbaa998877665544' },
    ];
    expect(decodeSuspectReports(encodeSuspectReports(reports))).toEqual(reports);
    const most = Array.from({ length: MAX_REPORTS_PER_MESSAGE }, (_, index) => interrupted(index));
    expect(decodeSuspectReports(encodeSuspectReports(most))).toEqual(most);
  });

  it('should be left out if its kind is unknown', () => {
    const bytes = encodeSuspectReports([interrupted(1), interrupted(2)]);
    bytes.writeUInt8(9, 1);
    expect(decodeSuspectReports(bytes)).toEqual([interrupted(2)]);
  });

  it.each([[Buffer.alloc(0)], [Buffer.from('m')], [Buffer.from('mtoo short')], [Buffer.alloc(18)]])(
    'should not be decoded from %s',
    (bytes) => {
      expect(decodeSuspectReports(bytes)).toBeUndefined();
    },
  );

  it('should reach all nodes of all zones within 20 ms', async () => {
    const clock = new ManualClock();
    const fleet = network(clock);
    fleet.relays[5]?.spread(interrupted(1), ReportSource.Own);
    await clock.advance(20);
    expect(countKnowing(fleet, interrupted(1))).toBeGreaterThanOrEqual(ZONES * NODES_PER_ZONE - 1);
  });

  it('should reach all nodes in time though a third of the messages is lost', async () => {
    const clock = new ManualClock();
    const fleet = network(clock, { lossShare: 1 / 3 });
    fleet.relays[5]?.spread(interrupted(1), ReportSource.Own);
    await clock.advance(CONTACT_MS);
    expect(countKnowing(fleet, interrupted(1))).toBeGreaterThanOrEqual(ZONES * NODES_PER_ZONE - 1);
  });

  it('should reach a zone that was cut off when it was first sent, soon after it is back', async () => {
    const clock = new ManualClock();
    let isCutOff = true;
    const isCut = (from: number, to: number): boolean =>
      isCutOff && (from % ZONES === 0) !== (to % ZONES === 0);
    const fleet = network(clock, { isCut });
    fleet.relays[5]?.spread(interrupted(1), ReportSource.Own);
    await clock.advance(5_000);
    expect(countKnowing(fleet, interrupted(1))).toBeLessThan(ZONES * NODES_PER_ZONE - 1);
    isCutOff = false;
    await clock.advance(CONTACT_MS);
    expect(countKnowing(fleet, interrupted(1))).toBeGreaterThanOrEqual(ZONES * NODES_PER_ZONE - 1);
  });

  it('should no longer be sent some seconds after all nodes know it', async () => {
    const clock = new ManualClock();
    const fleet = network(clock);
    fleet.relays[5]?.spread(interrupted(1), ReportSource.Own);
    await clock.advance(15_000);
    const sent = fleet.sentCounts();
    await clock.advance(60_000);
    expect(fleet.sentCounts()).toEqual(sent);
    expect(sent.betweenZones).toBeLessThanOrEqual(MAX_MESSAGES_TO_OTHER_ZONE * (ZONES - 1));
  });

  it('should not be sent by a node that has stopped', async () => {
    const clock = new ManualClock();
    const fleet = network(clock);
    fleet.relays[5]?.stop();
    fleet.relays[5]?.spread(interrupted(1), ReportSource.Own);
    await clock.advance(2_000);
    expect(fleet.sentCounts().all).toBe(0);
  });
});
