/** Writes this host's own announcement: nobody else raises its sequence. */
import { create } from '@bufbuild/protobuf';
import type { Announcement, BackendServer } from '@lentillb/protocol';
import { AnnouncementSchema, HostState } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';
import { isNewer } from './fleet.js';

/** Changes within this time are announced together. */
const COALESCE_MS = 20;

/** The ports of this node's listeners, known once they listen. */
export interface ListeningPorts {
  callPort: number;
  gatePort: number;
  peerPort: number;
  adminPort: number;
}

type Needs = Pick<Services, 'clock' | 'fleet' | 'identity' | 'settings' | 'timeline'>;

/** Announces this host to the fleet. */
export class Announcer {
  private sequence = 0;

  private state = HostState.LIVE;

  private backendServers: readonly BackendServer[] = [];

  private publishPending = false;

  private started = false;

  /** Filled in by the listeners as they start. */
  readonly ports: ListeningPorts = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0 };

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
    services.fleet.subscribe((announcement) => this.refute(announcement));
  }

  /** Announces the host for the first time, once its listeners listen. */
  start(): void {
    this.started = true;
    this.publish();
  }

  /**
   * Announces the backend servers of this host.
   *
   * @param backendServers - all of them
   */
  announceBackendServers(backendServers: readonly BackendServer[]): void {
    this.backendServers = backendServers;
    this.schedulePublish();
  }

  /** Announces where this host listens, after a listener has started. */
  announcePorts(): void {
    this.schedulePublish();
  }

  /** Announces that this host takes no new work. */
  announceLeaving(): void {
    this.state = HostState.LEAVING;
    this.publish();
  }

  /** Announces that this host is gone; its last word. */
  announceLeft(): void {
    this.state = HostState.LEFT;
    this.backendServers = [];
    this.publish();
  }

  private schedulePublish(): void {
    if (this.publishPending || !this.started) {
      return;
    }
    this.publishPending = true;
    this.services.clock.sleep(COALESCE_MS).then(() => {
      this.publishPending = false;
      this.publish();
    });
  }

  private publish(): void {
    const { fleet, identity, settings } = this.services;
    this.sequence += 1;
    const announcement = create(AnnouncementSchema, {
      host: settings.host,
      zone: settings.zone,
      region: settings.region,
      address: settings.address,
      incarnation: BigInt(identity.incarnation),
      sequence: this.sequence,
      state: this.state,
      backendServers: [...this.backendServers],
      ...this.ports,
    });
    fleet.merge(announcement);
  }

  /** Answers what others say of this host: an earlier run, or a watcher that lost sight of it. */
  private refute(claim: Announcement): void {
    const { identity, settings, timeline } = this.services;
    const own = { incarnation: BigInt(identity.incarnation), sequence: this.sequence };
    const ownVersion = { ...own, host: settings.host, state: this.state };
    if (claim.host !== settings.host || !this.started || !isNewer(claim, ownVersion)) {
      return;
    }
    timeline.record(EventKind.ClaimRefuted, {
      detail: `others held incarnation ${claim.incarnation}, sequence ${claim.sequence}, state ${HostState[claim.state]}`,
    });
    if (claim.incarnation > own.incarnation) {
      identity.surpass(Number(claim.incarnation));
    }
    this.sequence = Math.max(this.sequence, claim.sequence);
    this.schedulePublish();
  }
}
