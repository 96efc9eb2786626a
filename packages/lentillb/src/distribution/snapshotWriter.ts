/** Puts the accepted state back on the log before the records it came from expire. */
import type { Services } from '../kernel/services.js';
import { Deadline } from '../kernel/deadline.js';
import type { LogRange, LogRecord } from '../log/log.js';
import { LogStream } from '../log/log.js';
import { EventKind } from '../timeline/event.js';
import {
  decodeRecord,
  encodeRecord,
  encodeState,
  RECORD_FORMAT,
  RecordKind,
} from './configurationRecord.js';
import { toPlainState } from './configurationState.js';

/** The age of the newest snapshot at which another is due, as a share of the retention. */
const DUE_SHARE = 0.5;
/** Writers wait up to this share of the retention longer, so that one of them is first. */
const JITTER_SHARE = 0.1;
const APPEND_TIMEOUT_MS = 5_000;

type Needs = Pick<
  Services,
  'clock' | 'log' | 'logger' | 'randomness' | 'timeline' | 'versionStore'
>;

/** Writes snapshots while this node reads the log; racing writers do no harm. */
export class SnapshotWriter {
  private newestAt: Date | undefined;

  private oldestSeenAt: Date | undefined;

  private readonly jitter: number;

  private writing = false;

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
    this.jitter = services.randomness.fraction() * JITTER_SHARE;
  }

  /** @param record - a record read from the log */
  observe(record: LogRecord): void {
    this.oldestSeenAt ??= record.appendedAt;
    const decoded = decodeRecord(record.data);
    if (decoded.isOk() && decoded.value.kind === RecordKind.Snapshot) {
      this.newestAt = record.appendedAt;
    }
  }

  /**
   * Writes a snapshot where one is due.
   *
   * @param range - what the log still holds
   */
  consider(range: LogRange): void {
    const { clock, versionStore } = this.services;
    const reference = this.newestAt ?? this.oldestSeenAt;
    const { state } = versionStore;
    if (this.writing || state === undefined || state.version === 0 || reference === undefined) {
      return;
    }
    const ageMs = clock.now().getTime() - reference.getTime();
    if (ageMs >= range.retentionMs * (DUE_SHARE + this.jitter)) {
      this.writing = true;
      this.write().finally(() => {
        this.writing = false;
      });
    }
  }

  private async write(): Promise<void> {
    const { clock, log, logger, timeline, versionStore } = this.services;
    const { state } = versionStore;
    if (state === undefined) {
      return;
    }
    const { through, version } = state;
    const data = encodeRecord({
      format: RECORD_FORMAT,
      kind: RecordKind.Snapshot,
      through,
      version,
      state: Buffer.from(encodeState(toPlainState(state))).toString('base64'),
    });
    const deadline = Deadline.after(clock, APPEND_TIMEOUT_MS);
    const appended = await log.append(LogStream.Configuration, data, deadline);
    if (appended.isErr()) {
      logger.warn({ failure: appended.error }, 'snapshot not written; trying again');
      return;
    }
    this.newestAt = clock.now();
    timeline.record(EventKind.SnapshotWritten, { version, offset: appended.value });
  }
}
