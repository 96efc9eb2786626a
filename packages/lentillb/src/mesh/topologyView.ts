/** This node's part in the topology, worked out anew when the hosts of the fleet change. */
import type { Announcement } from '@lentillb/protocol';
import { HostState } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import type { Topology } from '../membership/topology.js';

/** Changes within this time lead to one new topology, in milliseconds. */
const SETTLE_MS = 100;

const ALONE: Topology = {
  reader: false,
  first: false,
  links: new Map(),
  children: [],
  zoneSize: 1,
};

/** Called with every new topology. */
export type TopologyListener = (topology: Topology) => void;

/** Follows the fleet and keeps this node's topology. */
export class TopologyView {
  private topology = ALONE;

  private pending = false;

  /** The hosts that took part when the topology was last worked out. */
  private readonly taking = new Set<string>();

  private readonly listeners = new Set<TopologyListener>();

  private readonly services: Pick<Services, 'clock' | 'fleet' | 'placement' | 'settings'>;

  constructor(services: Pick<Services, 'clock' | 'fleet' | 'placement' | 'settings'>) {
    this.services = services;
    services.fleet.subscribe((announcement) => this.consider(announcement));
  }

  /** The topology now. */
  get current(): Topology {
    return this.topology;
  }

  /**
   * @param listener - called with every new topology
   * @returns ends the subscription
   */
  subscribe(listener: TopologyListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private consider({ host, state }: Announcement): void {
    const takesPart = state === HostState.LIVE;
    if (takesPart === this.taking.has(host) || this.pending) {
      return;
    }
    this.pending = true;
    this.services.clock.sleep(SETTLE_MS).then(() => {
      this.pending = false;
      this.workOut();
    });
  }

  private workOut(): void {
    const { fleet, settings } = this.services;
    const places = fleet.present().filter(({ state }) => state === HostState.LIVE);
    this.taking.clear();
    places.forEach(({ host }) => this.taking.add(host));
    if (!this.taking.has(settings.host)) {
      return;
    }
    this.topology = this.services.placement(settings, places);
    this.listeners.forEach((listener) => listener(this.topology));
  }
}
