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
  private readonly byHost = new Map<string, Announcement>();

  private readonly listeners: DirectoryListener[] = [];

  /** The announcements as a list, made anew after a change. */
  private listed: readonly Announcement[] | undefined;

  private byService = new Map<string, readonly GateEndpoint[]>();

  private currentDigest = 0;

  /** Equal on nodes that hold the same announcements. */
  get digest(): number {
    return this.currentDigest;
  }

  /** All announcements. */
  get announcements(): readonly Announcement[] {
    this.listed ??= [...this.byHost.values()];
    return this.listed;
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
    const replaced = held === undefined ? 0 : digestOf(held);
    this.currentDigest = (this.currentDigest ^ replaced ^ digestOf(announcement)) >>> 0;
    this.listed = undefined;
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
      const { backendServer, gateAddress, host, peerAddress, zone } = announcement;
      return backendServer !== undefined &&
        backendServer.service === service &&
        backendServer.state === BackendServerState.Ready
        ? [{ backendServer, gateAddress, host, peerAddress, zone }]
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
