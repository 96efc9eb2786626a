/** Appends a snapshot of the accepted state to the log before the records behind it expire. */
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
import { toSerializableState } from './configurationState.js';

/** The age of the newest snapshot at which the next one is due, as a fraction of the retention. */
const SNAPSHOT_AGE_FRACTION = 0.5;
/** Delays a snapshot by up to this fraction of the retention, so that few nodes write at once. */
const JITTER_FRACTION = 0.1;
const APPEND_TIMEOUT_MS = 5_000;

type Dependencies = Pick<
  Services,
  'clock' | 'log' | 'logger' | 'randomness' | 'timeline' | 'versionStore'
>;

/** Writes snapshots while this node reads the log. Concurrent writers do no harm. */
export class SnapshotWriter {
  private newestSnapshotAt: Date | undefined;

  private firstRecordAt: Date | undefined;

  private readonly jitterFraction: number;

  private writing = false;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
    this.jitterFraction = services.randomness.fraction() * JITTER_FRACTION;
  }

  /** @param record - a record read from the log; a snapshot postpones the next one */
  observeRecord(record: LogRecord): void {
    this.firstRecordAt ??= record.appendedAt;
    const decoded = decodeRecord(record.data);
    if (decoded.isOk() && decoded.value.kind === RecordKind.Snapshot) {
      this.newestSnapshotAt = record.appendedAt;
    }
  }

  /**
   * Writes a snapshot if one is due.
   *
   * @param range - the range of records that the log still holds, with its retention
   */
  writeIfDue(range: LogRange): void {
    const { clock, versionStore } = this.services;
    const reference = this.newestSnapshotAt ?? this.firstRecordAt;
    const { state } = versionStore;
    if (this.writing || state === undefined || state.version === 0 || reference === undefined) {
      return;
    }
    const ageMs = clock.now().getTime() - reference.getTime();
    if (ageMs >= range.retentionMs * (SNAPSHOT_AGE_FRACTION + this.jitterFraction)) {
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
      state: Buffer.from(encodeState(toSerializableState(state))).toString('base64'),
    });
    const deadline = Deadline.after(clock, APPEND_TIMEOUT_MS);
    const appended = await log.append(LogStream.Configuration, data, deadline);
    if (appended.isErr()) {
      logger.warn(
        { failure: appended.error },
        'could not write a snapshot; will retry after the next read of the log',
      );
      return;
    }
    this.newestSnapshotAt = clock.now();
    timeline.record(EventKind.SnapshotWritten, { version, offset: appended.value });
  }
}
