/** Holds the newest announcement of every host, whether it came from the store or from another node. */
import type { Announcement, AnnouncedBackendServer } from './announcement.js';
import { BackendServerState, isNewer } from './announcement.js';
import { hash32 } from '../utils/hash.js';

/** A backend server that accepts requests, and the gate in front of it. */
export interface GateEndpoint {
  readonly host: string;
  readonly zone: string;
  readonly gateAddress: string;
  /** The address and port at which the node of the host answers other nodes. */
  readonly peerAddress: string;
  readonly backendServer: AnnouncedBackendServer;
}

/** Called after the announcement of a host changed. */
export type DirectoryListener = (announcement: Announcement) => void;

function digestOf({ host, incarnation, sequence }: Announcement): number {
  return hash32(`${host} ${incarnation} ${sequence}`);
}

/** Merges announcements. The result does not depend on the order in which they arrive. */
export class Directory {
  private readonly announcementsByHost = new Map<string, Announcement>();

  private readonly listeners: DirectoryListener[] = [];

  private readonly hostsByPeerAddress = new Map<string, string>();

  private readonly hostsByHash = new Map<number, string>();

  /** The announcements as a list; cleared by every change. */
  private cachedAnnouncements: readonly Announcement[] | undefined;

  private endpointsByService = new Map<string, readonly GateEndpoint[]>();

  private currentDigest = 0;

  /** The digest of all announcements; equal on nodes that hold the same announcements. */
  get digest(): number {
    return this.currentDigest;
  }

  /** The newest announcement of every host. */
  get announcements(): readonly Announcement[] {
    this.cachedAnnouncements ??= [...this.announcementsByHost.values()];
    return this.cachedAnnouncements;
  }

  /**
   * Stores an announcement if it is newer than the current one of its host.
   *
   * @param announcement - the announcement
   * @returns whether it was newer
   */
  merge(announcement: Announcement): boolean {
    const current = this.announcementsByHost.get(announcement.host);
    if (current !== undefined && !isNewer(announcement, current)) {
      return false;
    }
    this.announcementsByHost.set(announcement.host, announcement);
    this.hostsByPeerAddress.set(announcement.peerAddress, announcement.host);
    this.hostsByHash.set(hash32(announcement.host), announcement.host);
    const replacedDigest = current === undefined ? 0 : digestOf(current);
    this.currentDigest = (this.currentDigest ^ replacedDigest ^ digestOf(announcement)) >>> 0;
    this.cachedAnnouncements = undefined;
    this.endpointsByService = new Map();
    this.listeners.forEach((listener) => listener(announcement));
    return true;
  }

  /**
   * Returns the announcement of a host.
   *
   * @param host - the address of the host
   * @returns its newest announcement, if any
   */
  announcementOf(host: string): Announcement | undefined {
    return this.announcementsByHost.get(host);
  }

  /**
   * Returns the announced host with a hash.
   *
   * @param hostHash - the hash of its address
   * @returns the address of the host, if any has the hash
   */
  hostOf(hostHash: number): string | undefined {
    return this.hostsByHash.get(hostHash);
  }

  /**
   * Returns the announcement of the node that answers other nodes at an address.
   *
   * @param peerAddress - the address and port
   * @returns the newest announcement of its host, if any
   */
  announcementAt(peerAddress: string): Announcement | undefined {
    const host = this.hostsByPeerAddress.get(peerAddress);
    const announcement = host === undefined ? undefined : this.announcementOf(host);
    return announcement?.peerAddress === peerAddress ? announcement : undefined;
  }

  /**
   * Returns the backend servers of a service that accept requests.
   *
   * @param service - the name of the service
   * @returns the backend servers with their gates
   */
  endpointsOf(service: string): readonly GateEndpoint[] {
    const cached = this.endpointsByService.get(service);
    if (cached !== undefined) {
      return cached;
    }
    const endpoints = this.announcements.flatMap((announcement) => {
      const { backendServer, gateAddress, host, peerAddress, zone } = announcement;
      return backendServer !== undefined &&
        backendServer.service === service &&
        backendServer.state === BackendServerState.Ready
        ? [{ backendServer, gateAddress, host, peerAddress, zone }]
        : [];
    });
    this.endpointsByService.set(service, endpoints);
    return endpoints;
  }

  /**
   * Adds a listener for changes.
   *
   * @param listener - called after each announcement that was accepted
   */
  subscribe(listener: DirectoryListener): void {
    this.listeners.push(listener);
  }
}
