/** Publishes rule files to the log and reports the result to the operator. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Services } from '../kernel/services.js';
import type { Deadline } from '../kernel/deadline.js';
import type { LogFailure } from '../log/log.js';
import { LogFailureKind, LogStream } from '../log/log.js';
import type { Fault } from '../rules/fault.js';
import { formatDifference } from '../rules/lineEdits.js';
import { parseRuleFile } from '../rules/ruleFile.js';
import { Backoff } from '../utils/backoff.js';
import type { Judgement, PublishRecord } from './configurationRecord.js';
import { encodeRecord, Verdict } from './configurationRecord.js';
import type { ConfigurationState } from './configurationState.js';
import { textOf } from './configurationState.js';
import { publishRecordOf } from './publication.js';

const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1_000;
/** Requires this much time for another append, because a late response leaves the outcome unknown. */
const MIN_APPEND_TIME_MS = 300;

/** The result of a publication, as reported to the operator. */
export const PublishResult = {
  /** The file is the new version. */
  Accepted: 'accepted',
  /** The file is not in force and will not come into force. */
  Refused: 'refused',
  /** The result is not known yet: the record may still appear in the log. */
  Unknown: 'unknown',
} as const;
export type PublishResult = (typeof PublishResult)[keyof typeof PublishResult];

/** A rule file to publish. */
export interface Publication {
  /** The id that the client has chosen; the same id is never accepted twice. */
  readonly publishId: string;
  /** The version the file was edited from. */
  readonly base: number;
  readonly author: string;
  readonly text: string;
}

/** The outcome of a publication. */
export interface PublishOutcome {
  readonly result: PublishResult;
  readonly publishId: string;
  /** The new version, if the file was accepted. */
  readonly version?: number;
  /** The reason, and what to do next. */
  readonly reason: string;
  /** The faults of the file, if it was refused because of them. */
  readonly faults: readonly Fault[];
  /** The difference between the base and the version in force, after a conflict. */
  readonly difference: readonly string[];
}

type Dependencies = Pick<Services, 'clock' | 'log' | 'randomness' | 'versionStore'>;

function createRefusedOutcome(
  { publishId }: Publication,
  reason: string,
  faults: readonly Fault[] = [],
): PublishOutcome {
  return { result: PublishResult.Refused, publishId, reason, faults, difference: [] };
}

function createUnknownOutcome({ publishId }: Publication): PublishOutcome {
  const reason = `the log did not answer in time and "${publishId}" has not appeared in it yet; check "lentillb history", or publish again with --publish-id ${publishId}`;
  return { result: PublishResult.Unknown, publishId, reason, faults: [], difference: [] };
}

/** Publishes rule files and waits for their outcome. */
export class Publisher {
  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /**
   * Publishes a rule file and waits until this node has read the record from the log and judged it.
   *
   * @param publication - the file, its author and its base version
   * @param deadline - when to give up waiting; the outcome is then unknown
   * @returns the outcome; it is accepted or refused only where that is certain
   */
  async publish(publication: Publication, deadline: Deadline): Promise<PublishOutcome> {
    const file = parseRuleFile(publication.text);
    if (file.isErr()) {
      return createRefusedOutcome(publication, 'the file has faults; correct them', file.error);
    }
    const state = await this.waitForBase(publication, deadline);
    if (state.isErr()) {
      return createRefusedOutcome(publication, state.error);
    }
    const earlier = this.services.versionStore.judgementOf(publication.publishId);
    if (earlier !== undefined) {
      return this.createJudgedOutcome(publication, earlier);
    }
    if (state.value.version !== publication.base) {
      return this.createConflictOutcome(publication, state.value);
    }
    const record = publishRecordOf({
      ...publication,
      before: textOf(state.value),
      after: publication.text,
    });
    const appended = await this.append(record, deadline);
    if (appended.isErr() && appended.error.kind !== LogFailureKind.UnknownEffect) {
      return createRefusedOutcome(publication, `${appended.error.message}; nothing was published`);
    }
    const judgement = await this.waitForJudgement(publication.publishId, deadline);
    return judgement === undefined
      ? createUnknownOutcome(publication)
      : this.createJudgedOutcome(publication, judgement);
  }

  private async waitForBase(
    publication: Publication,
    deadline: Deadline,
  ): Promise<Result<ConfigurationState, string>> {
    const { versionStore } = this.services;
    const hasBase = (): boolean => (versionStore.state?.version ?? -1) >= publication.base;
    await this.waitUntil(hasBase, deadline);
    const { state, blockedAt } = versionStore;
    if (blockedAt !== undefined) {
      return Err(`this node does not understand the record at offset ${blockedAt}; upgrade it`);
    }
    if (state === undefined || !hasBase()) {
      const held = state === undefined ? 'no version yet' : `version ${state.version}`;
      return Err(
        `this node holds ${held}, not version ${publication.base}; nothing was published, try again when it has caught up`,
      );
    }
    return Ok(state);
  }

  private async append(
    record: PublishRecord,
    deadline: Deadline,
  ): Promise<Result<number, LogFailure>> {
    const { clock, log, randomness } = this.services;
    const backoff = new Backoff(randomness, MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    const data = encodeRecord(record);
    for (;;) {
      const appended = await log.append(LogStream.Configuration, data, deadline);
      const retryable = appended.isErr() && appended.error.kind === LogFailureKind.Unavailable;
      const delayMs = backoff.nextMs();
      if (!retryable || deadline.remainingMs() < delayMs + MIN_APPEND_TIME_MS) {
        return appended;
      }
      await clock.sleep(delayMs);
    }
  }

  private async waitForJudgement(
    publishId: string,
    deadline: Deadline,
  ): Promise<Judgement | undefined> {
    const { versionStore } = this.services;
    await this.waitUntil(() => versionStore.judgementOf(publishId) !== undefined, deadline);
    return versionStore.judgementOf(publishId);
  }

  private async waitUntil(condition: () => boolean, deadline: Deadline): Promise<void> {
    const { clock, versionStore } = this.services;
    if (condition()) {
      return;
    }
    const met = new AbortController();
    const unsubscribe = versionStore.subscribe(() => {
      if (condition()) {
        met.abort();
      }
    });
    await clock.sleep(deadline.remainingMs(), met.signal);
    unsubscribe();
  }

  private createConflictOutcome(
    publication: Publication,
    state: ConfigurationState,
  ): PublishOutcome {
    const { versionStore } = this.services;
    const firstAccepted = state.judgements.find(
      (earlier) => earlier.verdict === Verdict.Accepted && earlier.offset > publication.base,
    );
    const publisher =
      firstAccepted === undefined
        ? 'another operator'
        : `${firstAccepted.author} at ${firstAccepted.at}`;
    const reason = `edited from version ${publication.base}, but version ${state.version} is in force: ${publisher} published first; merge that version into the file and publish again`;
    const before = versionStore.linesOf(publication.base)?.map((line) => line.text);
    const after = state.lines.map((line) => line.text);
    const difference = before === undefined ? [] : formatDifference(before, after);
    return { ...createRefusedOutcome(publication, reason), difference };
  }

  private createJudgedOutcome(publication: Publication, judgement: Judgement): PublishOutcome {
    const { state } = this.services.versionStore;
    if (judgement.verdict === Verdict.Accepted) {
      const version = judgement.offset;
      const reason = `version ${version} is accepted`;
      const { publishId } = publication;
      return {
        result: PublishResult.Accepted,
        publishId,
        version,
        reason,
        faults: [],
        difference: [],
      };
    }
    if (judgement.verdict === Verdict.Conflict && state !== undefined) {
      return this.createConflictOutcome(publication, state);
    }
    return createRefusedOutcome(publication, `${judgement.verdict}: ${judgement.note}`);
  }
}
