/** Publishes rule files to the log and tells the operator what truly became of them. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Services } from '../kernel/services.js';
import type { Deadline } from '../kernel/deadline.js';
import type { LogFailure } from '../log/log.js';
import { LogFailureKind, LogStream } from '../log/log.js';
import type { Fault } from '../rules/fault.js';
import { printDifference } from '../rules/lineEdits.js';
import { parseRuleFile } from '../rules/ruleFile.js';
import { Backoff } from '../utils/backoff.js';
import type { Judgement, PublishRecord } from './configurationRecord.js';
import { encodeRecord, Verdict } from './configurationRecord.js';
import type { ConfigurationState } from './configurationState.js';
import { textOf } from './configurationState.js';
import { publishRecordOf } from './publication.js';

const RETRY_LEAST_MS = 50;
const RETRY_MOST_MS = 1_000;
/** The least time for a further append, in milliseconds: one answered too late leaves its outcome unknown. */
const LEAST_APPEND_MS = 300;

/** What the operator is told. */
export const PublishResult = {
  /** The file is the new version. */
  Accepted: 'accepted',
  /** The file is not in force and will never be. */
  Refused: 'refused',
  /** Nobody can tell yet: the record may still appear in the log. */
  Unknown: 'unknown',
} as const;
export type PublishResult = (typeof PublishResult)[keyof typeof PublishResult];

/** A rule file to publish. */
export interface Publication {
  /** Chosen by the operator's side; the same id is never accepted twice. */
  readonly publishId: string;
  /** The version the file was edited from. */
  readonly base: number;
  readonly author: string;
  readonly text: string;
}

/** What became of a publication. */
export interface PublishOutcome {
  readonly result: PublishResult;
  readonly publishId: string;
  /** The new version, where accepted. */
  readonly version?: number;
  /** Why, and what to do next. */
  readonly reason: string;
  /** Faults of the file, where it was refused for them. */
  readonly faults: readonly Fault[];
  /** What differs between the base and the version in force, after a conflict. */
  readonly difference: readonly string[];
}

type Needs = Pick<Services, 'clock' | 'log' | 'randomness' | 'versionStore'>;

function refused(
  { publishId }: Publication,
  reason: string,
  faults: readonly Fault[] = [],
): PublishOutcome {
  return { result: PublishResult.Refused, publishId, reason, faults, difference: [] };
}

function unknown({ publishId }: Publication): PublishOutcome {
  const reason = `the log did not answer in time and "${publishId}" has not appeared in it yet; look with "lentillb history", or publish again with --publish-id ${publishId}`;
  return { result: PublishResult.Unknown, publishId, reason, faults: [], difference: [] };
}

/** Publishes rule files. */
export class Publisher {
  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /**
   * Publishes a rule file and waits for the verdict of the log.
   *
   * @param publication - the file and where it came from
   * @param deadline - when to give up waiting; the outcome is then unknown
   * @returns what became of it, always true
   */
  async publish(publication: Publication, deadline: Deadline): Promise<PublishOutcome> {
    const file = parseRuleFile(publication.text);
    if (file.isErr()) {
      return refused(publication, 'the file has faults; correct them', file.error);
    }
    const state = await this.waitForBase(publication, deadline);
    if (state.isErr()) {
      return refused(publication, state.error);
    }
    const judged = this.services.versionStore.judgementOf(publication.publishId);
    if (judged !== undefined) {
      return this.judged(publication, judged);
    }
    if (state.value.version !== publication.base) {
      return this.conflict(publication, state.value);
    }
    const record = publishRecordOf({
      ...publication,
      before: textOf(state.value),
      after: publication.text,
    });
    const appended = await this.append(record, deadline);
    if (appended.isErr() && appended.error.kind !== LogFailureKind.UnknownEffect) {
      return refused(publication, `${appended.error.message}; nothing was published`);
    }
    const judgement = await this.waitForJudgement(publication.publishId, deadline);
    return judgement === undefined ? unknown(publication) : this.judged(publication, judgement);
  }

  private async waitForBase(
    publication: Publication,
    deadline: Deadline,
  ): Promise<Result<ConfigurationState, string>> {
    const { versionStore } = this.services;
    const known = (): boolean => (versionStore.state?.version ?? -1) >= publication.base;
    await this.waitUntil(known, deadline);
    const { state, blockedAt } = versionStore;
    if (blockedAt !== undefined) {
      return Err(`this node does not understand the record at offset ${blockedAt}; upgrade it`);
    }
    if (state === undefined || !known()) {
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
    const backoff = new Backoff(randomness, RETRY_LEAST_MS, RETRY_MOST_MS);
    const data = encodeRecord(record);
    for (;;) {
      const appended = await log.append(LogStream.Configuration, data, deadline);
      const repeatable = appended.isErr() && appended.error.kind === LogFailureKind.Unavailable;
      const delayMs = backoff.nextMs();
      if (!repeatable || deadline.remainingMs() < delayMs + LEAST_APPEND_MS) {
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

  private conflict(publication: Publication, state: ConfigurationState): PublishOutcome {
    const { versionStore } = this.services;
    const first = state.judgements.find(
      (judged) => judged.verdict === Verdict.Accepted && judged.offset > publication.base,
    );
    const who = first === undefined ? 'somebody' : `${first.author} at ${first.at}`;
    const reason = `edited from version ${publication.base}, but version ${state.version} is in force: ${who} was first; take that version in and publish again`;
    const before = versionStore.linesOf(publication.base)?.map((line) => line.text);
    const after = state.lines.map((line) => line.text);
    const difference = before === undefined ? [] : printDifference(before, after);
    return { ...refused(publication, reason), difference };
  }

  private judged(publication: Publication, judgement: Judgement): PublishOutcome {
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
      return this.conflict(publication, state);
    }
    return refused(publication, `${judgement.verdict}: ${judgement.note}`);
  }
}
