/** The configuration of this node. All changes to it are made here. */
import type { Services } from '../kernel/services.js';
import { assertInvariant } from '../kernel/invariant.js';
import type { LogRecord } from '../log/log.js';
import { EventKind } from '../timeline/event.js';
import type { Judgement, PublishRecord } from './configurationRecord.js';
import { decodeRecord, RecordFault, RecordKind, Verdict } from './configurationRecord.js';
import type { AcceptedLine, ConfigurationState } from './configurationState.js';
import { EMPTY_STATE, judgeRecord } from './configurationState.js';
import { RecordBuffer } from './recordBuffer.js';

/** The result of offering a record. */
export const OfferResult = {
  /** The record was the next one and has been processed. */
  Taken: 'taken',
  /** The record was processed before. */
  Known: 'known',
  /** Records before this one are missing. */
  Early: 'early',
  /** This node processes no more records, see `blockedAt`. */
  Blocked: 'blocked',
} as const;
export type OfferResult = (typeof OfferResult)[keyof typeof OfferResult];

/** Limits how many versions are kept for comparison. */
const MAX_VERSIONS = 50;

/** Receives the state after every processed record and every adopted state. */
export type StateListener = (state: ConfigurationState) => void;

/** Judges records one by one and holds the resulting configuration. The version never decreases. */
export class VersionStore {
  private current: ConfigurationState | undefined;

  private readonly buffer = new RecordBuffer();

  private readonly listeners = new Set<StateListener>();

  private readonly linesOfVersion = new Map<number, readonly AcceptedLine[]>();

  private blockedOffset: number | undefined;

  private readonly services: Pick<Services, 'timeline' | 'logger'>;

  constructor(services: Pick<Services, 'timeline' | 'logger'>) {
    this.services = services;
  }

  /** The current state; undefined until this node has read the log or adopted a state. */
  get state(): ConfigurationState | undefined {
    return this.current;
  }

  /** The offset of the last processed record; -1 while this node has no state. */
  get through(): number {
    return this.current?.through ?? -1;
  }

  /** The offset of the record at which this node stopped because of its newer format, if any. */
  get blockedAt(): number | undefined {
    return this.blockedOffset;
  }

  /** Starts with the empty state. The log must still hold its first record. */
  startFromEmptyState(): void {
    if (this.current === undefined) {
      this.setState(EMPTY_STATE);
    }
  }

  /**
   * Processes a record if it is the next one.
   *
   * @param record - a record of the configuration stream
   * @returns what was done with the record
   */
  offer(record: LogRecord): OfferResult {
    if (this.blockedOffset !== undefined) {
      return OfferResult.Blocked;
    }
    const { current } = this;
    if (current === undefined || record.offset > current.through + 1) {
      return OfferResult.Early;
    }
    if (record.offset <= current.through) {
      return OfferResult.Known;
    }
    return this.applyRecord(current, record);
  }

  /**
   * Adopts the state of a peer or a snapshot if it is newer than the current one.
   *
   * @param state - the state of a peer or a snapshot
   * @param source - where the state came from, for the timeline
   * @returns whether the state was adopted
   */
  adopt(state: ConfigurationState, source: string): boolean {
    if (state.through <= this.through || state.version < (this.current?.version ?? 0)) {
      return false;
    }
    this.buffer.clear();
    this.blockedOffset = undefined;
    this.services.timeline.record(EventKind.StateAdopted, {
      offset: state.through,
      version: state.version,
      detail: `from ${source}`,
    });
    this.setState(state);
    return true;
  }

  /**
   * Skips records that expired in the log and that no peer holds.
   *
   * @param through - the offset of the last lost record
   */
  skipLostRecords(through: number): void {
    if (this.current !== undefined && this.current.through < through) {
      this.services.timeline.record(EventKind.LogGap, {
        offset: through,
        detail: `records after offset ${this.current.through} are lost; continuing without them`,
      });
      this.buffer.clear();
      this.setState({ ...this.current, through });
    }
  }

  /**
   * @param offset - the last offset that a peer has
   * @returns all later records, or undefined if the peer needs the whole state
   */
  recordsAfter(offset: number): readonly LogRecord[] | undefined {
    return offset === this.through ? [] : this.buffer.recordsAfter(offset);
  }

  /**
   * @param version - a version
   * @returns the lines of the version, if this node still keeps them
   */
  linesOf(version: number): readonly AcceptedLine[] | undefined {
    return version === 0 ? [] : this.linesOfVersion.get(version);
  }

  /**
   * @param publishId - the id of a publication
   * @returns the first judgement on it; undefined if there is none
   */
  judgementOf(publishId: string): Judgement | undefined {
    return this.current?.judgements.find((judgement) => judgement.publishId === publishId);
  }

  /**
   * @param listener - called after every change
   * @returns a function that ends the subscription
   */
  subscribe(listener: StateListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private applyRecord(current: ConfigurationState, record: LogRecord): OfferResult {
    const decoded = decodeRecord(record.data);
    if (decoded.isErr() && decoded.error === RecordFault.UnknownFormat) {
      this.blockAt(record.offset);
      return OfferResult.Blocked;
    }
    this.buffer.push(record);
    if (decoded.isOk() && decoded.value.kind === RecordKind.Publish) {
      this.judge(current, decoded.value, record);
    } else {
      this.setState({ ...current, through: record.offset });
    }
    return OfferResult.Taken;
  }

  private judge(current: ConfigurationState, published: PublishRecord, record: LogRecord): void {
    const next = judgeRecord(current, published, record.offset, record.appendedAt);
    const judgement = next.judgements.at(-1);
    if (judgement?.verdict === Verdict.Accepted) {
      const { version } = next;
      this.services.timeline.record(EventKind.VersionApplied, { version, offset: version });
    } else {
      this.services.timeline.record(EventKind.RecordRefused, {
        offset: record.offset,
        detail: `${judgement?.verdict}: ${judgement?.note}`,
      });
    }
    this.setState(next);
  }

  private blockAt(offset: number): void {
    this.blockedOffset = offset;
    const detail = `the record at offset ${offset} has a newer format than this node supports; upgrade this node, it stays on version ${this.current?.version}`;
    this.services.timeline.record(EventKind.RecordNotUnderstood, { offset, detail });
    this.services.logger.error({ offset }, detail);
  }

  private setState(next: ConfigurationState): void {
    assertInvariant(
      next.version >= (this.current?.version ?? 0) && next.through >= this.through,
      `the version and the offset must not decrease (current version ${this.current?.version}, next ${next.version})`,
    );
    this.current = next;
    this.linesOfVersion.set(next.version, next.lines);
    const [oldest] = this.linesOfVersion.keys();
    if (this.linesOfVersion.size > MAX_VERSIONS && oldest !== undefined) {
      this.linesOfVersion.delete(oldest);
    }
    this.listeners.forEach((listener) => listener(next));
  }
}
