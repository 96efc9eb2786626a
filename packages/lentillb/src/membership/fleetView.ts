/** The backend servers of the fleet that calls can be sent to. */
import type { Announcement } from '@lentillb/protocol';
import { BackendServerState, HostState } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';

/** A ready backend server and the gate of its host. */
export interface Endpoint {
  /** The id of the backend server, unique on its host. */
  readonly id: string;
  readonly host: string;
  readonly zone: string;
  readonly region: string;
  /** The address on which the gate of its host accepts calls. */
  readonly address: string;
  readonly gatePort: number;
  readonly service: string;
  readonly slots: number;
  /** The time when the backend server became ready. */
  readonly readyAt: Date;
}

function endpointsOfHost(announcement: Announcement): readonly Endpoint[] {
  if (announcement.state !== HostState.LIVE) {
    return [];
  }
  const { host, zone, region, address, gatePort } = announcement;
  return announcement.backendServers
    .filter((server) => server.state === BackendServerState.READY)
    .map(({ id, service, slots, readyAtMs }) => ({
      id,
      host,
      zone,
      region,
      address,
      gatePort,
      service,
      slots,
      readyAt: new Date(Number(readyAtMs)),
    }));
}

/** Groups the ready backend servers of the fleet by service. */
export class FleetView {
  private readonly byHost = new Map<string, readonly Endpoint[]>();

  private byService: Map<string, readonly Endpoint[]> | undefined;

  constructor({ fleet }: Pick<Services, 'fleet'>) {
    fleet.present().forEach((announcement) => this.update(announcement));
    fleet.subscribe((announcement) => this.update(announcement));
  }

  /**
   * @param service - the name of a service
   * @returns the ready backend servers of the service
   */
  endpointsOf(service: string): readonly Endpoint[] {
    this.byService ??= this.groupByService();
    return this.byService.get(service) ?? [];
  }

  private update(announcement: Announcement): void {
    const endpoints = endpointsOfHost(announcement);
    if (endpoints.length > 0) {
      this.byHost.set(announcement.host, endpoints);
    } else {
      this.byHost.delete(announcement.host);
    }
    this.byService = undefined;
  }

  private groupByService(): Map<string, Endpoint[]> {
    const grouped = new Map<string, Endpoint[]>();
    this.byHost.forEach((endpoints) =>
      endpoints.forEach((endpoint) => {
        const members = grouped.get(endpoint.service) ?? [];
        members.push(endpoint);
        grouped.set(endpoint.service, members);
      }),
    );
    return grouped;
  }
}
