/** Publishes the announcement of this host; only its own node raises the sequence. */
import { create } from '@bufbuild/protobuf';
import type { Announcement, BackendServer } from '@lentillb/protocol';
import { AnnouncementSchema, HostState } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';
import { isNewer } from './fleet.js';

/** The delay of an announcement, in milliseconds, to combine several changes in one. */
const COALESCE_MS = 20;

/** The ports of the listeners of this node; 0 until a listener has started. */
export interface ListeningPorts {
  callPort: number;
  gatePort: number;
  peerPort: number;
  adminPort: number;
}

type Dependencies = Pick<Services, 'clock' | 'fleet' | 'identity' | 'settings' | 'timeline'>;

/** Announces this host to the fleet. */
export class Announcer {
  private sequence = 0;

  private state = HostState.LIVE;

  private backendServers: readonly BackendServer[] = [];

  private publishPending = false;

  private started = false;

  /** The announced ports, which each listener sets when it starts. */
  readonly ports: ListeningPorts = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0 };

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
    services.fleet.subscribe((announcement) => this.refute(announcement));
  }

  /** Announces the host for the first time, after its listeners have started. */
  start(): void {
    this.started = true;
    this.publish();
  }

  /**
   * Announces the backend servers of this host.
   *
   * @param backendServers - all backend servers of this host
   */
  announceBackendServers(backendServers: readonly BackendServer[]): void {
    this.backendServers = backendServers;
    this.schedulePublish();
  }

  /** Announces the ports of this host again, after another listener has started. */
  announcePorts(): void {
    this.schedulePublish();
  }

  /** Announces that this host accepts no new calls. */
  announceLeaving(): void {
    this.state = HostState.LEAVING;
    this.publish();
  }

  /** Announces that this host has left; this is its last announcement. */
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

  /**
   * Replaces a newer announcement of this host by others with a newer one of its own. Such an
   * announcement comes from an earlier run, or from a watcher that declared the host lost.
   */
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
      identity.advancePast(Number(claim.incarnation));
    }
    this.sequence = Math.max(this.sequence, claim.sequence);
    this.schedulePublish();
  }
}
