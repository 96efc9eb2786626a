/**
 * Spreads reports about suspect requests over the fleet. A node sends a new report to all nodes of
 * its zone and to a few of each other zone, and each node passes on what it did not know, so a
 * report needs two hops. For some seconds after, a few random nodes get it again, because datagrams
 * may be lost and nodes may have been unreachable. Without reports nothing is sent.
 */
import type { Announcement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { SuspectReport } from '../directory/suspectReport.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import { sample } from '../utils/sample.js';
import { MAX_REPORTS_PER_MESSAGE } from './suspectReportMessage.js';

/** The time in which reports collect to one message, in milliseconds. */
const BATCH_DELAY_MS = 2;
/** The number of nodes of each other zone that get a new report directly. */
const NODES_PER_OTHER_ZONE = 2;
/** The interval at which recent reports are sent again, in milliseconds. */
const REPEAT_INTERVAL_MS = 500;
/** How long a report is sent again, in milliseconds. */
const REPEAT_FOR_MS = 10_000;
/** The number of random nodes of the own zone, and of other zones, that get recent reports again. */
const REPEAT_RECEIVERS = 2;
/** The maximum number of recent reports that are kept; the oldest are dropped. */
const MAX_RECENT_REPORTS = 512;

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

interface RecentReport {
  readonly report: SuspectReport;
  readonly receivedAtMs: number;
}

/** Spreads reports between the nodes. */
export class SuspectReportRelay {
  private batch: SuspectReport[] = [];

  private recent: RecentReport[] = [];

  private isRepeating = false;

  private stopped = false;

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
   * Sends a report that this node did not know before.
   *
   * @param report - the report
   */
  spread(report: SuspectReport): void {
    const { clock } = this.services;
    if (this.batch.length === 0) {
      clock.after(BATCH_DELAY_MS, () => this.sendBatch());
    }
    this.batch.push(report);
    this.recent.push({ report, receivedAtMs: clock.monotonicMs() });
    this.recent = this.recent.slice(-MAX_RECENT_REPORTS);
    this.startRepeating();
  }

  private sendBatch(): void {
    const reports = this.batch;
    this.batch = [];
    const { near, farByZone } = this.otherNodes();
    const far = farByZone.flatMap((nodes) => this.choose(nodes, NODES_PER_OTHER_ZONE));
    this.send([...near, ...far], reports);
  }

  private startRepeating(): void {
    if (!this.isRepeating) {
      this.isRepeating = true;
      this.services.clock.after(REPEAT_INTERVAL_MS, () => this.repeat());
    }
  }

  private repeat(): void {
    this.isRepeating = false;
    const sinceMs = this.services.clock.monotonicMs() - REPEAT_FOR_MS;
    this.recent = this.recent.filter(({ receivedAtMs }) => receivedAtMs > sinceMs);
    if (this.stopped || this.recent.length === 0) {
      return;
    }
    const { near, farByZone } = this.otherNodes();
    const receivers = [near, farByZone.flat()].flatMap((nodes) =>
      this.choose(nodes, REPEAT_RECEIVERS),
    );
    this.send(
      receivers,
      this.recent.map(({ report }) => report),
    );
    this.startRepeating();
  }

  private choose(nodes: readonly Announcement[], count: number): readonly Announcement[] {
    return sample(this.services.randomness, nodes, count);
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

  private otherNodes(): {
    readonly near: readonly Announcement[];
    readonly farByZone: readonly (readonly Announcement[])[];
  } {
    const byZone = new Map<string, Announcement[]>();
    this.services.directory.announcements
      .filter(({ host }) => host !== this.location.host)
      .forEach((announcement) => {
        const nodes = byZone.get(announcement.zone) ?? [];
        nodes.push(announcement);
        byZone.set(announcement.zone, nodes);
      });
    const near = byZone.get(this.location.zone) ?? [];
    byZone.delete(this.location.zone);
    return { near, farByZone: [...byZone.values()] };
  }
}
