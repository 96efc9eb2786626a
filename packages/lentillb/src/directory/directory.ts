/** The newest announcement of every host, from whichever source it came first. */
import type { Announcement, AnnouncedBackendServer } from './announcement.js';
import { BackendServerState, isNewer } from './announcement.js';
import { hash32 } from '../utils/hash.js';

/** A backend server that takes requests, and the gate in front of it. */
export interface GateEndpoint {
  readonly host: string;
  readonly zone: string;
  readonly gateAddress: string;
  /** Where its node answers others. */
  readonly peerAddress: string;
  readonly backendServer: AnnouncedBackendServer;
}

/** Called after the announcement of a host changed. */
export type DirectoryListener = (announcement: Announcement) => void;

function digestOf({ host, incarnation, sequence }: Announcement): number {
  return hash32(`${host} ${incarnation} ${sequence}`);
}

/** Merges announcements; the order in which they arrive does not matter. */
export class Directory {
  private readonly announcementsByHost = new Map<string, Announcement>();

  private readonly listeners: DirectoryListener[] = [];

  /** The announcements as a list, made anew after a change. */
  private cachedAnnouncements: readonly Announcement[] | undefined;

  private endpointsByService = new Map<string, readonly GateEndpoint[]>();

  private currentDigest = 0;

  /** Equal on nodes that hold the same announcements. */
  get digest(): number {
    return this.currentDigest;
  }

  /** All announcements. */
  get announcements(): readonly Announcement[] {
    this.cachedAnnouncements ??= [...this.announcementsByHost.values()];
    return this.cachedAnnouncements;
  }

  /**
   * Takes an announcement in unless one as new is held.
   *
   * @param announcement - what a node said of its host
   * @returns whether it was newer
   */
  merge(announcement: Announcement): boolean {
    const current = this.announcementsByHost.get(announcement.host);
    if (current !== undefined && !isNewer(announcement, current)) {
      return false;
    }
    this.announcementsByHost.set(announcement.host, announcement);
    const replacedDigest = current === undefined ? 0 : digestOf(current);
    this.currentDigest = (this.currentDigest ^ replacedDigest ^ digestOf(announcement)) >>> 0;
    this.cachedAnnouncements = undefined;
    this.endpointsByService = new Map();
    this.listeners.forEach((listener) => listener(announcement));
    return true;
  }

  /**
   * @param host - the address of a host
   * @returns its newest announcement, if any
   */
  of(host: string): Announcement | undefined {
    return this.announcementsByHost.get(host);
  }

  /**
   * @param service - the name of a service
   * @returns its backend servers that take requests
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

  /** @param listener - called after each announcement that was accepted */
  subscribe(listener: DirectoryListener): void {
    this.listeners.push(listener);
  }
}
