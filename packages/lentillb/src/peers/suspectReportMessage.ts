/** Encodes the datagrams by which nodes report requests under which backend servers end. */
import type { SuspectReport } from '../directory/suspectReport.js';
import { CONTENT_HASH_DIGITS, SuspectReportKind } from '../directory/suspectReport.js';

const MAGIC = 0x6d;
const HEAD_BYTES = 1;

// Of each report: the kind, the content, the run, the host and the time; 0 where not needed.
const CONTENT_OFFSET = 1;
const RUN_OFFSET = 13;
const HOST_OFFSET = 17;
const TIME_OFFSET = 21;
const TIME_BYTES = 6;
const REPORT_BYTES = 27;
/** The maximum number of reports in a message, so that it fits into one packet. */
export const MAX_REPORTS_PER_MESSAGE = 40;

const kindCodes: Readonly<Record<SuspectReportKind, number>> = {
  [SuspectReportKind.Interrupted]: 1,
  [SuspectReportKind.Answered]: 2,
};

function encodeReport(report: SuspectReport): Buffer {
  const bytes = Buffer.alloc(REPORT_BYTES);
  bytes.writeUInt8(kindCodes[report.kind], 0);
  const isInterrupted = report.kind === SuspectReportKind.Interrupted;
  const { contentHash } = isInterrupted ? report.run : report;
  bytes.write(contentHash, CONTENT_OFFSET, 'hex');
  if (isInterrupted) {
    bytes.writeUInt32BE(report.run.runHash, RUN_OFFSET);
    bytes.writeUInt32BE(report.run.hostHash, HOST_OFFSET);
    bytes.writeUIntBE(report.run.endedAtMs, TIME_OFFSET, TIME_BYTES);
  }
  return bytes;
}

function decodeReport(bytes: Buffer): SuspectReport | undefined {
  const contentEnd = CONTENT_OFFSET + CONTENT_HASH_DIGITS / 2;
  const contentHash = bytes.subarray(CONTENT_OFFSET, contentEnd).toString('hex');
  const code = bytes.readUInt8(0);
  if (code === kindCodes[SuspectReportKind.Answered]) {
    return { kind: SuspectReportKind.Answered, contentHash };
  }
  if (code !== kindCodes[SuspectReportKind.Interrupted]) {
    return undefined;
  }
  const runHash = bytes.readUInt32BE(RUN_OFFSET);
  const hostHash = bytes.readUInt32BE(HOST_OFFSET);
  const endedAtMs = bytes.readUIntBE(TIME_OFFSET, TIME_BYTES);
  const run = { contentHash, runHash, hostHash, endedAtMs };
  return { kind: SuspectReportKind.Interrupted, run };
}

/**
 * Encodes reports.
 *
 * @param reports - the reports, at most as many as fit into a message
 * @returns the datagram
 */
export function encodeSuspectReports(reports: readonly SuspectReport[]): Buffer {
  return Buffer.concat([Buffer.from([MAGIC]), ...reports.map(encodeReport)]);
}

/**
 * Decodes reports. Kinds that this node does not know are left out.
 *
 * @param bytes - the datagram
 * @returns the reports, or undefined if the datagram has none
 */
export function decodeSuspectReports(bytes: Buffer): readonly SuspectReport[] | undefined {
  const count = (bytes.length - HEAD_BYTES) / REPORT_BYTES;
  if (bytes[0] !== MAGIC || count < 1 || !Number.isInteger(count)) {
    return undefined;
  }
  return Array.from({ length: count }).flatMap((_, index) => {
    const start = HEAD_BYTES + index * REPORT_BYTES;
    return decodeReport(bytes.subarray(start, start + REPORT_BYTES)) ?? [];
  });
}
