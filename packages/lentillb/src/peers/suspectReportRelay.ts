/**
 * Spreads reports about suspect requests over the fleet. The node that saw what it reports tells its
 * zone and a few nodes of each other zone, and these tell theirs. Datagrams may be lost and nodes may
 * be unreachable, so reports are sent again for some seconds: inside a zone by every node that has
 * them, and between zones, where traffic is charged, only by the first node, less and less often.
 * Without reports nothing is sent.
 */
import type { Announcement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import { ReportSource } from '../directory/suspectReport.js';
import type { SuspectReport } from '../directory/suspectReport.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import { sample } from '../utils/sample.js';
import { MAX_REPORTS_PER_MESSAGE } from './suspectReportMessage.js';

/** The time in which reports collect to one message, in milliseconds. */
const BATCH_DELAY_MS = 2;
/** The number of nodes of each other zone that get a new report directly. */
const NODES_PER_OTHER_ZONE = 2;
/** The delays after which reports are sent again inside the zone, in milliseconds. */
const ZONE_REPEAT_DELAYS_MS = [300, 600, 900, 1_300, 1_800, 2_400];
/** The number of random nodes of the zone that get them then. */
const ZONE_REPEAT_RECEIVERS = 2;
/** The delays after which reports are sent again to one node of each other zone, in milliseconds. */
const OTHER_ZONE_REPEAT_DELAYS_MS = [400, 1_000, 2_000, 4_500, 7_500, 12_000];

/** Sends reports to another node without guaranteed delivery. */
export interface SuspectReportTransport {
  /**
   * Sends reports.
   *
   * @param address - the address and port of the receiving node
   * @param reports - the reports, at most as many as fit into a message
   */
  sendSuspectReports(address: string, reports: readonly SuspectReport[]): void;
}

/** The services that the relay depends on. */
export interface SuspectReportRelayServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly directory: Directory;
  readonly transport: SuspectReportTransport;
}

/** Spreads reports between the nodes. */
export class SuspectReportRelay {
  private readonly batches = new Map<ReportSource, SuspectReport[]>();

  private stopped = false;

  private readonly sendNew: Readonly<
    Record<ReportSource, (reports: readonly SuspectReport[]) => void>
  > = {
    [ReportSource.Own]: (reports) => this.sendOwn(reports),
    [ReportSource.OtherZone]: (reports) => {
      this.send(this.nodesOfOwnZone(), reports);
      this.repeatInZone(reports);
    },
    // Its sender has told the zone.
    [ReportSource.SameZone]: (reports) => this.repeatInZone(reports),
  };

  /**
   * @param services - the services that the relay depends on
   * @param location - the host and the zone of this node
   */
  constructor(
    private readonly services: SuspectReportRelayServices,
    private readonly location: { readonly host: string; readonly zone: string },
  ) {}

  /** Stops sending. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Returns where a report came from.
   *
   * @param address - the address and port of the node that sent it
   * @returns whether it is a node of this zone; unknown nodes count as nodes of another one
   */
  sourceOf(address: string): ReportSource {
    const zone = this.services.directory.announcementAt(address)?.zone;
    return zone === this.location.zone ? ReportSource.SameZone : ReportSource.OtherZone;
  }

  /**
   * Sends a report that this node did not know before.
   *
   * @param report - the report
   * @param source - where it came from
   */
  spread(report: SuspectReport, source: ReportSource): void {
    const batch = this.batches.get(source);
    if (batch !== undefined) {
      batch.push(report);
      return;
    }
    const reports = [report];
    this.batches.set(source, reports);
    this.services.clock.after(BATCH_DELAY_MS, () => {
      this.batches.delete(source);
      this.sendNew[source](reports);
    });
  }

  private sendOwn(reports: readonly SuspectReport[]): void {
    this.send(this.nodesOfOwnZone(), reports);
    this.send(this.sampleOtherZones(NODES_PER_OTHER_ZONE), reports);
    this.repeatInZone(reports);
    OTHER_ZONE_REPEAT_DELAYS_MS.forEach((delayMs) =>
      this.services.clock.after(delayMs, () => this.send(this.sampleOtherZones(1), reports)),
    );
  }

  private repeatInZone(reports: readonly SuspectReport[]): void {
    const { clock, randomness } = this.services;
    ZONE_REPEAT_DELAYS_MS.forEach((delayMs) =>
      clock.after(delayMs, () =>
        this.send(sample(randomness, this.nodesOfOwnZone(), ZONE_REPEAT_RECEIVERS), reports),
      ),
    );
  }

  private send(receivers: readonly Announcement[], reports: readonly SuspectReport[]): void {
    if (this.stopped) {
      return;
    }
    for (let start = 0; start < reports.length; start += MAX_REPORTS_PER_MESSAGE) {
      const message = reports.slice(start, start + MAX_REPORTS_PER_MESSAGE);
      receivers.forEach(({ peerAddress }) =>
        this.services.transport.sendSuspectReports(peerAddress, message),
      );
    }
  }

  private nodesOfOwnZone(): readonly Announcement[] {
    const { host: ownHost, zone: ownZone } = this.location;
    return this.services.directory.announcements.filter(
      ({ host, zone }) => host !== ownHost && zone === ownZone,
    );
  }

  /** Draws a number of nodes of each other zone. */
  private sampleOtherZones(count: number): readonly Announcement[] {
    const byZone = new Map<string, Announcement[]>();
    this.services.directory.announcements
      .filter(({ zone }) => zone !== this.location.zone)
      .forEach((announcement) => {
        const nodes = byZone.get(announcement.zone) ?? [];
        nodes.push(announcement);
        byZone.set(announcement.zone, nodes);
      });
    return [...byZone.values()].flatMap((nodes) => sample(this.services.randomness, nodes, count));
  }
}
