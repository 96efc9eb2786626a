/**
 * Knows which version of each service served first. Announcements state it, so that a node that starts
 * late, or reads only the store, comes to the same result as one that has seen every start: a backend
 * server that is restarted announces since when its version has served, and the backend servers of a
 * version that a rollout introduced announce the offset of its order.
 */
import type { AnnouncedBackendServer, Announcement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';

/** How a version came to serve. */
export interface Introduction {
  /** The offset of the rollout order that completed with the version; undefined if none did. */
  readonly order?: number;
  /** The earliest known start of a backend server with the version, in Unix milliseconds. */
  readonly sinceMs: number;
}

/** The order of a version that no rollout introduced; lower than any offset. */
const NO_ORDER = -1;

/** Versions of later orders come first, then those that served earlier. */
function comparePrecedence(
  [leftVersion, left]: readonly [string, Introduction],
  [rightVersion, right]: readonly [string, Introduction],
): number {
  return (
    (right.order ?? NO_ORDER) - (left.order ?? NO_ORDER) ||
    left.sinceMs - right.sinceMs ||
    (leftVersion < rightVersion ? -1 : 1)
  );
}

/** The versions of a service, and the one that serves unless a rollout says otherwise. */
interface ServiceVersions {
  readonly introductions: Map<string, Introduction>;
  /** The number of hosts whose newest announcement names a version; versions without any are left out. */
  readonly hostCounts: Map<string, number>;
  incumbent: string;
}

/** The version that the newest announcement of a host names. */
interface AnnouncedVersion {
  readonly service: string;
  readonly version: string;
}

/** The versions of all services. */
export class VersionHistory {
  private readonly services = new Map<string, ServiceVersions>();

  private readonly versionsByHost = new Map<string, AnnouncedVersion>();

  /** @param directory - the announced hosts */
  constructor(private readonly directory: Directory) {
    directory.announcements.forEach((announcement) => this.learnAnnouncement(announcement));
    directory.subscribe((announcement) => this.learnAnnouncement(announcement));
  }

  /** The services with announced backend servers of more than one version. */
  get mixedServices(): readonly string[] {
    return [...this.services.keys()].filter((service) => this.isMixed(service));
  }

  /**
   * @param service - the name of a service
   * @returns whether backend servers of more than one version are announced, in whatever state
   */
  isMixed(service: string): boolean {
    return (this.services.get(service)?.hostCounts.size ?? 0) > 1;
  }

  /**
   * @param service - the name of a service
   * @returns of the announced versions, the one that the last completed rollout introduced, or that served
   *   first; empty if no backend server states one
   */
  incumbentOf(service: string): string {
    return this.services.get(service)?.incumbent ?? '';
  }

  /**
   * @param service - the name of a service
   * @param version - a version
   * @returns the offset of the rollout order that completed with the version; -1 if none did
   */
  orderOf(service: string, version: string): number {
    return this.services.get(service)?.introductions.get(version)?.order ?? NO_ORDER;
  }

  /**
   * Records how a version came to serve. The result does not depend on the order of the calls.
   *
   * @param service - the name of the service
   * @param version - the version
   * @param introduction - how the version came to serve
   */
  learn(service: string, version: string, { order, sinceMs }: Introduction): void {
    const known = this.versionsOf(service);
    const before = known.introductions.get(version);
    const latest = Math.max(order ?? NO_ORDER, before?.order ?? NO_ORDER);
    known.introductions.set(version, {
      ...(latest === NO_ORDER ? {} : { order: latest }),
      sinceMs: Math.min(sinceMs, before?.sinceMs ?? Infinity),
    });
    this.chooseIncumbent(known);
  }

  /**
   * Adds to an announcement since when the version of the backend server has served.
   *
   * @param host - the host of the backend server
   * @param announced - the backend server as it is announced otherwise
   * @returns the backend server with the introduction of its version, where that says more than its start
   */
  describe(host: string, announced: AnnouncedBackendServer): AnnouncedBackendServer {
    const { service, startedAtMs, version } = announced;
    const known = this.services.get(service)?.introductions.get(version ?? '');
    if (version === undefined || known === undefined) {
      return announced;
    }
    const before = this.directory.announcementOf(host)?.backendServer;
    const isSameRun =
      before?.id === announced.id &&
      before.startedAtMs === startedAtMs &&
      before.version === version &&
      before.service === service;
    // Every write to the store is charged, so what is announced changes only by a new run or a rollout.
    const isAnnounced = isSameRun && before.introduction?.order === known.order;
    const isEarlier = known.order !== undefined || known.sinceMs < startedAtMs;
    const introduction = isAnnounced ? before.introduction : isEarlier && known;
    return introduction ? { ...announced, introduction } : announced;
  }

  private versionsOf(service: string): ServiceVersions {
    const known = this.services.get(service);
    if (known !== undefined) {
      return known;
    }
    const created = { introductions: new Map(), hostCounts: new Map(), incumbent: '' };
    this.services.set(service, created);
    return created;
  }

  /** A version that no host announces any more, because all were replaced in place, doesn't hold others back. */
  // eslint-disable-next-line class-methods-use-this -- a helper of the methods around it
  private chooseIncumbent(known: ServiceVersions): void {
    const all = [...known.introductions];
    const announced = all.filter(([version]) => known.hostCounts.has(version));
    const [first] = (announced.length > 0 ? announced : all).sort(comparePrecedence);
    // eslint-disable-next-line no-param-reassign -- the versions of a service are kept in place
    known.incumbent = first?.[0] ?? '';
  }

  private learnAnnouncement({ backendServer, host }: Announcement): void {
    this.countHost(host, backendServer);
    if (backendServer?.version !== undefined) {
      const { introduction, service, startedAtMs, version } = backendServer;
      const sinceMs = Math.min(startedAtMs, introduction?.sinceMs ?? Infinity);
      this.learn(service, version, { order: introduction?.order, sinceMs });
    }
  }

  private countHost(host: string, backendServer: AnnouncedBackendServer | undefined): void {
    const before = this.versionsByHost.get(host);
    const service = backendServer?.service;
    const version = backendServer?.version;
    if (before?.service === service && before?.version === version) {
      return;
    }
    if (before !== undefined) {
      this.versionsByHost.delete(host);
      this.addHosts(before, -1);
    }
    if (service !== undefined && version !== undefined) {
      this.versionsByHost.set(host, { service, version });
      this.addHosts({ service, version }, 1);
    }
  }

  private addHosts({ service, version }: AnnouncedVersion, change: number): void {
    const known = this.versionsOf(service);
    const count = (known.hostCounts.get(version) ?? 0) + change;
    if (count > 0) {
      known.hostCounts.set(version, count);
    } else {
      known.hostCounts.delete(version);
    }
    this.chooseIncumbent(known);
  }
}
