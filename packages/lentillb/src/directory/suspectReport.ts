/** Describes what nodes report to each other about requests under which backend servers end. */

/** A backend server that ended while a request ran on it. */
export interface InterruptedRun {
  /** The hash of the content of the request, in hexadecimal digits. */
  readonly contentHash: string;
  /** A hash of the identity and the start of the backend server. */
  readonly runHash: number;
  /** A hash of the address of its host. */
  readonly hostHash: number;
  /** When the backend server ended, in Unix milliseconds of the clock of its host. */
  readonly endedAtMs: number;
}

/** The length of a content hash, in hexadecimal digits. */
export const CONTENT_HASH_DIGITS = 24;
/** The length of the first part of it, which stands for method and path. */
export const TARGET_HASH_DIGITS = 8;

/** The kinds of reports. */
export const SuspectReportKind = {
  /** A backend server ended while it ran the request. */
  Interrupted: 'interrupted',
  /** A backend server answered the request, so its content is harmless. */
  Answered: 'answered',
} as const;
export type SuspectReportKind = (typeof SuspectReportKind)[keyof typeof SuspectReportKind];

/** Where a node got a report from, which decides to whom it passes it on. */
export const ReportSource = {
  /** The node itself. */
  Own: 'own',
  SameZone: 'same-zone',
  OtherZone: 'other-zone',
} as const;
export type ReportSource = (typeof ReportSource)[keyof typeof ReportSource];

/** A report about the content of a request. */
export type SuspectReport =
  | { readonly kind: typeof SuspectReportKind.Interrupted; readonly run: InterruptedRun }
  | { readonly kind: typeof SuspectReportKind.Answered; readonly contentHash: string };
