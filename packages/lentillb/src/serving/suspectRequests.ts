/**
 * Decides which requests no backend server gets any more, because the backend servers that ran them
 * ended. Under an ordinary crash many requests are interrupted, each of them once; they may be sent
 * again. A request whose content was running when three backend servers ended, and that none has
 * answered since, is blocked on all hosts: each further run may end another backend server, with all
 * other requests on it. Two ends are not enough, because the requests that were interrupted together
 * are sent again together. After a delay that grows with every end, the backend server of one host,
 * the same for all, gets a blocked request for a trial. Any answer but
 * a server error shows that the content is harmless, and clears it.
 */
import type { InterruptedRun } from '../directory/suspectReport.js';
import { TARGET_HASH_DIGITS } from '../directory/suspectReport.js';
import type { Clock } from '../kernel/clock.js';

/** What may be done with a request. */
export const SuspectVerdict = {
  /** It may be sent to any backend server. */
  Allowed: 'allowed',
  /** It may be sent once, to the backend server on one host. */
  Trial: 'trial',
  /** It may not be sent to any backend server. */
  Blocked: 'blocked',
} as const;
export type SuspectVerdict = (typeof SuspectVerdict)[keyof typeof SuspectVerdict];

/** The verdict on a request with some content. */
export interface SuspectJudgement {
  readonly verdict: SuspectVerdict;
  /** The time until the next trial, in milliseconds; 0 if the content is not blocked. */
  readonly trialInMs: number;
  /** The hash of the address of the host that tries the content; undefined if it is not blocked. */
  readonly trialHostHash?: number;
}

interface Suspect {
  /** The backend servers that ended, by the hash of the run. */
  readonly runs: Map<number, InterruptedRun>;
  /** When the last end became known, in milliseconds of the monotonic clock. */
  endedAtMs: number;
  /** Until when the outcome of a trial is awaited, in milliseconds of the monotonic clock. */
  trialUntilMs: number;
}

/** The number of ended backend servers from which on a content is blocked. */
const BLOCKING_ENDS = 3;
/** How long a content is remembered after the last end, in milliseconds. */
const MEMORY_MS = 600_000;
/** The time from the last end to the first trial, in milliseconds; it triples with every further end. */
const FIRST_TRIAL_DELAY_MS = 10_000;
const TRIAL_DELAY_FACTOR = 3;
const MAX_TRIAL_DELAY_MS = 240_000;
/** How long the outcome of a trial is awaited, in milliseconds. */
const TRIAL_TIMEOUT_MS = 10_000;
/** The maximum number of contents, and of ends, that are remembered; the oldest are dropped. */
const MAX_SUSPECTS = 4_096;
const MAX_KNOWN_ENDS = 16_384;

/** The judgement on a request that is not suspect. */
export const ALLOWED: SuspectJudgement = { verdict: SuspectVerdict.Allowed, trialInMs: 0 };

function createSuspect(): Suspect {
  return { runs: new Map(), endedAtMs: -Infinity, trialUntilMs: -Infinity };
}

function trialDelayMs({ runs }: Suspect): number {
  const furtherEnds = runs.size - BLOCKING_ENDS;
  return Math.min(MAX_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** furtherEnds);
}

/**
 * Chooses one of the hosts whose backend servers ended, the same wherever these are known. The next one
 * takes its turn if there was no outcome, since the host may be gone.
 */
function chooseTrialHost({ runs }: Suspect, overdueMs: number): number | undefined {
  const hosts = [...new Set([...runs.values()].map(({ hostHash }) => hostHash))].sort(
    (left, right) => left - right,
  );
  const turn = Math.max(0, Math.floor(overdueMs / TRIAL_TIMEOUT_MS));
  return hosts[turn % hosts.length];
}

function oldestKey(entries: ReadonlyMap<string, unknown>): string {
  return entries.keys().next().value as string;
}

/** Remembers contents that were running when backend servers ended. */
export class SuspectRequests {
  /** The suspects by content hash; the one that ended a backend server last comes last. */
  private readonly suspects = new Map<string, Suspect>();

  /** The number of suspects by the first part of their content hash. */
  private readonly countsByTarget = new Map<string, number>();

  /** The ends that were recorded, also of contents that have been cleared since. */
  private readonly knownEnds = new Map<string, true>();

  /** @param clock - the clock for delays */
  constructor(private readonly clock: Clock) {}

  /** The number of contents that are remembered. */
  get size(): number {
    return this.suspects.size;
  }

  /**
   * Records that a backend server ended while it ran a request.
   *
   * @param run - the interrupted run
   * @returns whether it was not known yet, and is not too old to matter
   */
  recordEnd(run: InterruptedRun): boolean {
    const { contentHash, endedAtMs, runHash } = run;
    if (this.clock.now().getTime() - endedAtMs >= MEMORY_MS) {
      return false;
    }
    const key = `${contentHash} ${runHash}`;
    if (this.knownEnds.has(key)) {
      return false;
    }
    this.knownEnds.set(key, true);
    if (this.knownEnds.size > MAX_KNOWN_ENDS) {
      this.knownEnds.delete(oldestKey(this.knownEnds));
    }
    this.removeExpired();
    const suspect = this.suspects.get(contentHash) ?? createSuspect();
    this.remove(contentHash);
    suspect.runs.set(runHash, run);
    suspect.endedAtMs = this.clock.monotonicMs();
    suspect.trialUntilMs = -Infinity;
    this.add(contentHash, suspect);
    return true;
  }

  /**
   * Records that a backend server answered a request, and not by a server error.
   *
   * @param contentHash - the hash of its content
   * @returns whether the content was suspect
   */
  recordAnswer(contentHash: string): boolean {
    return this.remove(contentHash);
  }

  /**
   * Checks whether any suspect content has a method and path. Nearly all requests have others, and their
   * contents need not be hashed.
   *
   * @param targetHash - the first part of the content hash
   * @returns whether the content may be suspect
   */
  mayKnow(targetHash: string): boolean {
    return this.countsByTarget.has(targetHash);
  }

  /**
   * Returns how many backend servers ended under a content that none has answered since.
   *
   * @param contentHash - the hash of the content
   * @returns the number of ends
   */
  endsOf(contentHash: string): number {
    return this.find(contentHash)?.runs.size ?? 0;
  }

  /**
   * Returns the ends on one host under contents that are blocked.
   *
   * @param hostHash - the hash of the address of the host
   * @returns the ends, the oldest first
   */
  blockingEndsOn(hostHash: number): readonly InterruptedRun[] {
    return [...this.suspects.keys()].flatMap((contentHash) => {
      const runs = [...(this.find(contentHash)?.runs.values() ?? [])];
      return runs.length < BLOCKING_ENDS ? [] : runs.filter((run) => run.hostHash === hostHash);
    });
  }

  /**
   * Judges a request without starting a trial.
   *
   * @param contentHash - the hash of its content
   * @returns whether it may be sent
   */
  judge(contentHash: string): SuspectJudgement {
    const suspect = this.find(contentHash);
    if (suspect === undefined || suspect.runs.size < BLOCKING_ENDS) {
      return ALLOWED;
    }
    const nowMs = this.clock.monotonicMs();
    const dueAtMs = suspect.endedAtMs + trialDelayMs(suspect);
    const trialInMs = Math.max(0, Math.max(dueAtMs, suspect.trialUntilMs) - nowMs);
    return {
      verdict: trialInMs === 0 ? SuspectVerdict.Trial : SuspectVerdict.Blocked,
      trialInMs,
      trialHostHash: chooseTrialHost(suspect, nowMs - dueAtMs),
    };
  }

  /**
   * Starts the trial of a content, so that no other request with it is sent until its outcome.
   *
   * @param contentHash - the hash of the content
   */
  startTrial(contentHash: string): void {
    const suspect = this.find(contentHash);
    if (suspect !== undefined) {
      suspect.trialUntilMs = this.clock.monotonicMs() + TRIAL_TIMEOUT_MS;
    }
  }

  private find(contentHash: string): Suspect | undefined {
    this.removeExpired();
    return this.suspects.get(contentHash);
  }

  /** Removes contents whose last end is too long ago; these come first. */
  private removeExpired(): void {
    const sinceMs = this.clock.monotonicMs() - MEMORY_MS;
    for (const [contentHash, { endedAtMs }] of this.suspects) {
      if (endedAtMs > sinceMs) {
        return;
      }
      this.remove(contentHash);
    }
  }

  private add(contentHash: string, suspect: Suspect): void {
    this.suspects.set(contentHash, suspect);
    const target = contentHash.slice(0, TARGET_HASH_DIGITS);
    this.countsByTarget.set(target, (this.countsByTarget.get(target) ?? 0) + 1);
    if (this.suspects.size > MAX_SUSPECTS) {
      this.remove(oldestKey(this.suspects));
    }
  }

  private remove(contentHash: string): boolean {
    if (!this.suspects.delete(contentHash)) {
      return false;
    }
    const target = contentHash.slice(0, TARGET_HASH_DIGITS);
    const count = (this.countsByTarget.get(target) ?? 0) - 1;
    if (count > 0) {
      this.countsByTarget.set(target, count);
    } else {
      this.countsByTarget.delete(target);
    }
    return true;
  }
}
