/** Describes what nodes report to each other about requests under which backend servers end. */

/** A backend server that ended while a request ran on it. */
export interface InterruptedRun {
  /** The hash of the content of the request, in hexadecimal digits. */
  readonly contentHash: string;
  /** A hash of the identity and the start of the backend server. */
  readonly runHash: number;
  /** A hash of the address of its host. */
  readonly hostHash: number;
}

/** The length of a content hash, in hexadecimal digits. */
export const CONTENT_HASH_DIGITS = 16;

/** The kinds of reports. */
export const SuspectReportKind = {
  /** A backend server ended while it ran the request. */
  Interrupted: 'interrupted',
  /** A backend server answered the request, so its content is harmless. */
  Answered: 'answered',
} as const;
export type SuspectReportKind = (typeof SuspectReportKind)[keyof typeof SuspectReportKind];

/** A report about the content of a request. */
export type SuspectReport =
  | { readonly kind: typeof SuspectReportKind.Interrupted; readonly run: InterruptedRun }
  | { readonly kind: typeof SuspectReportKind.Answered; readonly contentHash: string };
