/**
 * Writes departures of backend servers to the store again that it lost when it went back to an older
 * copy. Every running node writes its own record again. A host whose backend server has departed may
 * be gone, and then a node that starts later would read from the store that it still serves.
 */
import type { Announcement } from '../directory/announcement.js';
import {
  BackendServerState,
  decodeAnnouncement,
  encodeAnnouncement,
  isNewer,
} from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { StoreReaderRole } from '../peers/storeReaderRole.js';
import type { KeyedStore } from '../store/keyedStore.js';
import { Topic } from '../store/keyedStore.js';
import type { StoreEraTracker } from '../store/storeEraTracker.js';
import { runInBackground } from '../utils/background.js';

/** How long running nodes have to write their own records first, in milliseconds. */
const OWN_WRITE_TIMEOUT_MS = 1_500;
/** Timeout of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 1_200;
/** How often the departures are compared with the store before the next outage is awaited. */
const MAX_ROUNDS = 3;

/** The services that a restorer depends on. */
export interface DepartureRestorerServices {
  readonly clock: Clock;
  readonly store: KeyedStore;
  readonly directory: Directory;
  readonly role: StoreReaderRole;
  readonly era: StoreEraTracker;
  readonly log: DecisionLog;
}

/** Restores the departures of one availability zone, at the node that reads the hosts for it. */
export class DepartureRestorer {
  /**
   * @param services - the services that the restorer depends on
   * @param zone - the availability zone of this node
   */
  constructor(
    private readonly services: DepartureRestorerServices,
    private readonly zone: string,
  ) {
    services.era.subscribe((era) => runInBackground(this.restore(era)));
  }

  private async restore(era: number): Promise<void> {
    const { clock, role, era: tracker } = this.services;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      await clock.sleep(OWN_WRITE_TIMEOUT_MS);
      if (tracker.current !== era || !role.shouldRead(Topic.Hosts)) {
        return;
      }
      if (await this.restoreLostDepartures()) {
        return;
      }
    }
  }

  /** Returns whether the store has all departures. */
  private async restoreLostDepartures(): Promise<boolean> {
    const { clock, store } = this.services;
    const read = await store.readNewest(Topic.Hosts, Deadline.after(clock, CALL_TIMEOUT_MS));
    if (read.isErr()) {
      return false;
    }
    const stored = new Map(
      read.value.records.flatMap(({ value }) => {
        const decoded = value === undefined ? undefined : decodeAnnouncement(value);
        return decoded?.isOk() ? [[decoded.value.host, decoded.value] as const] : [];
      }),
    );
    const results = await Promise.all(
      this.departures()
        .filter((departure) => {
          const record = stored.get(departure.host);
          return record === undefined || isNewer(departure, record);
        })
        .map((departure) => this.write(departure)),
    );
    return results.every((isWritten) => isWritten);
  }

  private departures(): readonly Announcement[] {
    return this.services.directory.announcements.filter(
      ({ backendServer, zone }) =>
        zone === this.zone && backendServer?.state === BackendServerState.Leaving,
    );
  }

  private async write(departure: Announcement): Promise<boolean> {
    const { clock, log, store } = this.services;
    const value = Buffer.from(encodeAnnouncement(departure));
    const deadline = Deadline.after(clock, CALL_TIMEOUT_MS);
    const written = await store.write(Topic.Hosts, departure.host, value, deadline);
    log.record(Importance.Notable, 'departure-restored', {
      host: departure.host,
      id: departure.backendServer?.id,
      written: written.isOk(),
    });
    return written.isOk();
  }
}
