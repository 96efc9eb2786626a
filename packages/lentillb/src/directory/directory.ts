/** The newest announcement of every host, from whichever source it came first. */
import type { Announcement, AnnouncedBackendServer } from './announcement.js';
import { BackendServerState, isNewer } from './announcement.js';

/** A backend server that takes requests, and the gate in front of it. */
export interface GateEndpoint {
  readonly host: string;
  readonly zone: string;
  readonly gateAddress: string;
  readonly backendServer: AnnouncedBackendServer;
}

/** Called after the announcement of a host changed. */
export type DirectoryListener = (announcement: Announcement) => void;

/** Merges announcements; the order in which they arrive does not matter. */
export class Directory {
  private readonly byHost = new Map<string, Announcement>();

  private readonly listeners: DirectoryListener[] = [];

  private byService = new Map<string, readonly GateEndpoint[]>();

  private changes = 0;

  /** Rises whenever an announcement was accepted. */
  get changeCount(): number {
    return this.changes;
  }

  /** All announcements. */
  get announcements(): readonly Announcement[] {
    return [...this.byHost.values()];
  }

  /**
   * Takes an announcement in unless one as new is held.
   *
   * @param announcement - what a node said of its host
   * @returns whether it was newer
   */
  merge(announcement: Announcement): boolean {
    const held = this.byHost.get(announcement.host);
    if (held !== undefined && !isNewer(announcement, held)) {
      return false;
    }
    this.byHost.set(announcement.host, announcement);
    this.changes += 1;
    this.byService = new Map();
    this.listeners.forEach((listener) => listener(announcement));
    return true;
  }

  /**
   * @param host - the address of a host
   * @returns its newest announcement, if any
   */
  of(host: string): Announcement | undefined {
    return this.byHost.get(host);
  }

  /**
   * @param service - the name of a service
   * @returns its backend servers that take requests
   */
  endpointsOf(service: string): readonly GateEndpoint[] {
    const known = this.byService.get(service);
    if (known !== undefined) {
      return known;
    }
    const endpoints = this.announcements.flatMap((announcement) => {
      const { backendServer, gateAddress, host, zone } = announcement;
      return backendServer !== undefined &&
        backendServer.service === service &&
        backendServer.state === BackendServerState.Ready
        ? [{ backendServer, gateAddress, host, zone }]
        : [];
    });
    this.byService.set(service, endpoints);
    return endpoints;
  }

  /** @param listener - called after each announcement that was accepted */
  subscribe(listener: DirectoryListener): void {
    this.listeners.push(listener);
  }
}
