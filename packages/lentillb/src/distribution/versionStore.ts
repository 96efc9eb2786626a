/** The configuration this node holds, and the only place where it changes. */
import type { Services } from '../kernel/services.js';
import { assertInvariant } from '../kernel/invariant.js';
import type { LogRecord } from '../log/log.js';
import { EventKind } from '../timeline/event.js';
import type { Judgement, PublishRecord } from './configurationRecord.js';
import { decodeRecord, RecordFault, RecordKind, Verdict } from './configurationRecord.js';
import type { AcceptedLine, ConfigurationState } from './configurationState.js';
import { EMPTY_STATE, judgeRecord } from './configurationState.js';
import { RecordBuffer } from './recordBuffer.js';

/** What became of an offered record. */
export const Offer = {
  /** It was the next one and has been judged. */
  Taken: 'taken',
  /** It was judged before. */
  Known: 'known',
  /** Records before it are missing. */
  Early: 'early',
  /** This node stays on what it holds, see `blockedAt`. */
  Blocked: 'blocked',
} as const;
export type Offer = (typeof Offer)[keyof typeof Offer];

/** How many earlier versions can be compared with. */
const VERSIONS_KEPT = 50;

/** Called after every record judged and every state adopted. */
export type StateListener = (state: ConfigurationState) => void;

/** The configuration of this node: judged record by record, never older than before. */
export class VersionStore {
  private current: ConfigurationState | undefined;

  private readonly buffer = new RecordBuffer();

  private readonly listeners = new Set<StateListener>();

  private readonly linesOfVersion = new Map<number, readonly AcceptedLine[]>();

  private blocked: number | undefined;

  private readonly services: Pick<Services, 'timeline' | 'logger'>;

  constructor(services: Pick<Services, 'timeline' | 'logger'>) {
    this.services = services;
  }

  /** The state held; undefined while this node knows nothing of the log's past. */
  get state(): ConfigurationState | undefined {
    return this.current;
  }

  /** The offset of the last record judged; -1 while the node knows nothing. */
  get through(): number {
    return this.current?.through ?? -1;
  }

  /** The offset of a record of a later format, where this node stopped; undefined if none. */
  get blockedAt(): number | undefined {
    return this.blocked;
  }

  /** Starts from the beginning of the log, which still holds its first record. */
  beginEmpty(): void {
    if (this.current === undefined) {
      this.change(EMPTY_STATE);
    }
  }

  /**
   * Judges the next record.
   *
   * @param record - a record of the configuration stream
   * @returns what became of it
   */
  offer(record: LogRecord): Offer {
    if (this.blocked !== undefined) {
      return Offer.Blocked;
    }
    const { current } = this;
    if (current === undefined || record.offset > current.through + 1) {
      return Offer.Early;
    }
    if (record.offset <= current.through) {
      return Offer.Known;
    }
    return this.take(current, record);
  }

  /**
   * Takes over the state of a peer or snapshot, where it is newer than the one held.
   *
   * @param state - the state of others
   * @param source - where it came from, for the time line
   * @returns whether it was taken
   */
  adopt(state: ConfigurationState, source: string): boolean {
    if (state.through <= this.through || state.version < (this.current?.version ?? 0)) {
      return false;
    }
    this.buffer.clear();
    this.blocked = undefined;
    this.services.timeline.record(EventKind.StateAdopted, {
      offset: state.through,
      version: state.version,
      detail: `from ${source}`,
    });
    this.change(state);
    return true;
  }

  /**
   * Counts records that no longer exist anywhere as judged, after the log forgot them.
   *
   * @param through - the offset of the last lost record
   */
  skipLost(through: number): void {
    if (this.current !== undefined && this.current.through < through) {
      this.services.timeline.record(EventKind.LogGap, {
        offset: through,
        detail: `records after offset ${this.current.through} are lost; going on without them`,
      });
      this.buffer.clear();
      this.change({ ...this.current, through });
    }
  }

  /**
   * @param offset - the last offset a peer has
   * @returns all later records, or undefined where the peer needs the whole state
   */
  recordsAfter(offset: number): readonly LogRecord[] | undefined {
    return offset === this.through ? [] : this.buffer.after(offset);
  }

  /**
   * @param version - a version
   * @returns its lines, where this node still remembers them
   */
  linesOf(version: number): readonly AcceptedLine[] | undefined {
    return version === 0 ? [] : this.linesOfVersion.get(version);
  }

  /**
   * @param publishId - the id of a publication
   * @returns the first verdict on it; undefined where none is known
   */
  judgementOf(publishId: string): Judgement | undefined {
    return this.current?.judgements.find((judgement) => judgement.publishId === publishId);
  }

  /**
   * @param listener - called after every change
   * @returns ends the subscription
   */
  subscribe(listener: StateListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private take(current: ConfigurationState, record: LogRecord): Offer {
    const decoded = decodeRecord(record.data);
    if (decoded.isErr() && decoded.error === RecordFault.UnknownFormat) {
      this.block(record.offset);
      return Offer.Blocked;
    }
    this.buffer.push(record);
    if (decoded.isOk() && decoded.value.kind === RecordKind.Publish) {
      this.judge(current, decoded.value, record);
    } else {
      this.change({ ...current, through: record.offset });
    }
    return Offer.Taken;
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
    this.change(next);
  }

  private block(offset: number): void {
    this.blocked = offset;
    const detail = `the record at offset ${offset} has a later format; upgrade this node, it stays on version ${this.current?.version}`;
    this.services.timeline.record(EventKind.RecordNotUnderstood, { offset, detail });
    this.services.logger.error({ offset }, detail);
  }

  private change(next: ConfigurationState): void {
    assertInvariant(
      next.version >= (this.current?.version ?? 0) && next.through >= this.through,
      `the version never goes back (held ${this.current?.version}, offered ${next.version})`,
    );
    this.current = next;
    this.linesOfVersion.set(next.version, next.lines);
    const [oldest] = this.linesOfVersion.keys();
    if (this.linesOfVersion.size > VERSIONS_KEPT && oldest !== undefined) {
      this.linesOfVersion.delete(oldest);
    }
    this.listeners.forEach((listener) => listener(next));
  }
}
