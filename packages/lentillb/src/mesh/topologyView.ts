/** Recomputes the role of this node in the topology when the hosts of the fleet change. */
import type { Announcement } from '@lentillb/protocol';
import { HostState } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';
import type { Topology } from '../membership/topology.js';

/**
 * The delay before a new topology is computed, in milliseconds, to combine several changes in one.
 */
const RECOMPUTE_DELAY_MS = 100;

const INITIAL_TOPOLOGY: Topology = {
  reader: false,
  first: false,
  links: new Map(),
  children: [],
  zoneSize: 1,
};

/** A function called with every new topology. */
export type TopologyListener = (topology: Topology) => void;

/** The current topology as computed for this node. */
export class TopologyView {
  private topology = INITIAL_TOPOLOGY;

  private recomputePending = false;

  /** The live hosts from which the topology was last computed. */
  private readonly participants = new Set<string>();

  private readonly listeners = new Set<TopologyListener>();

  private readonly services: Pick<Services, 'clock' | 'fleet' | 'placement' | 'settings'>;

  constructor(services: Pick<Services, 'clock' | 'fleet' | 'placement' | 'settings'>) {
    this.services = services;
    services.fleet.subscribe((announcement) => this.scheduleRecompute(announcement));
  }

  get current(): Topology {
    return this.topology;
  }

  /**
   * Subscribes to topology changes.
   *
   * @param listener - called with every new topology
   * @returns a function that ends the subscription
   */
  subscribe(listener: TopologyListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private scheduleRecompute({ host, state }: Announcement): void {
    const participates = state === HostState.LIVE;
    if (participates === this.participants.has(host) || this.recomputePending) {
      return;
    }
    this.recomputePending = true;
    this.services.clock.sleep(RECOMPUTE_DELAY_MS).then(() => {
      this.recomputePending = false;
      this.recompute();
    });
  }

  private recompute(): void {
    const { fleet, settings } = this.services;
    const liveHosts = fleet.present().filter(({ state }) => state === HostState.LIVE);
    this.participants.clear();
    liveHosts.forEach(({ host }) => this.participants.add(host));
    if (!this.participants.has(settings.host)) {
      return;
    }
    this.topology = this.services.placement(settings, liveHosts);
    this.listeners.forEach((listener) => listener(this.topology));
  }
}
