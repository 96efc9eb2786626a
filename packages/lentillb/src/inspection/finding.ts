/** Defines what a check of a configuration reports. */
import type { ConfigurationPlace } from '../configuration/configurationFault.js';

/** The kinds of findings. */
export const FindingKind = {
  /** Nodes reject a version with it, and keep the version in force. */
  Error: 'error',
  /** An entry has no effect, because no request can ever match it. */
  Unmatched: 'unmatched',
  /** Two settings contradict each other, so that one of them has no effect. */
  Contradiction: 'contradiction',
} as const;
export type FindingKind = (typeof FindingKind)[keyof typeof FindingKind];

/** Something in a configuration that its author should change. It never quotes a key. */
export interface Finding {
  readonly kind: FindingKind;
  readonly place: ConfigurationPlace;
  readonly problem: string;
  readonly remedy: string;
}

/** A difference from the version in force. It never quotes a key. */
export interface Difference {
  readonly place: ConfigurationPlace;
  /** What changes there. */
  readonly change: string;
}
