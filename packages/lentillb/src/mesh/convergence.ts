/** How far the fleet has come, added up along the trees of the zones. */
import { create } from '@bufbuild/protobuf';
import type { Progress } from '@lentillb/protocol';
import { LinkRole, ProgressSchema } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';

/** How far the nodes of one zone have come. */
export interface ZoneProgress {
  readonly zone: string;
  /** How many nodes are counted. */
  readonly nodes: number;
  /** The lowest version in force on any of them. */
  readonly lowestVersion: number;
}

type Needs = Pick<Services, 'linkTable' | 'settings' | 'topologyView' | 'versionStore'>;

/** Adds progress up. */
export class Convergence {
  private readonly progressByZone = new Map<string, Progress>();

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** @returns progress of this node and all below it in its zone's tree */
  subtreeProgress(): Progress {
    const { linkTable, settings, topologyView, versionStore } = this.services;
    const own = BigInt(versionStore.state?.version ?? 0);
    const children = new Map(
      linkTable
        .open()
        .filter((link) => link.toChild && link.progress !== undefined)
        .map((link) => [link.host, link.progress as Progress]),
    );
    const below = [...children.values()];
    const counted = below.reduce((total, child) => total + child.nodes, 1);
    return create(ProgressSchema, {
      zone: settings.zone,
      // Views that differ can make two nodes each other's parents: what they add up must end.
      nodes: Math.min(counted, topologyView.current.zoneSize),
      lowestVersion: below.reduce(
        (lowest, child) => (child.lowestVersion < lowest ? child.lowestVersion : lowest),
        own,
      ),
    });
  }

  /**
   * @param role - what a link is used for
   * @returns the progress of zones to send over it: the own zone's to other zones, all to children
   */
  zonesFor(role: LinkRole): Progress[] {
    const { settings, topologyView } = this.services;
    if (role === LinkRole.ZONE) {
      const own = this.progressByZone.get(settings.zone);
      return topologyView.current.first && own !== undefined ? [own] : [];
    }
    return [...this.progressByZone.values()];
  }

  /** @param zones - what another node said of whole zones */
  updateZones(zones: readonly Progress[]): void {
    const others = zones.filter(({ zone }) => !this.aggregatesZone(zone));
    others.forEach((progress) => this.progressByZone.set(progress.zone, progress));
  }

  /** Works the own zone's progress out anew, and tells it where it changed. */
  refresh(): void {
    const { linkTable, settings, topologyView } = this.services;
    if (topologyView.current.first) {
      this.progressByZone.set(settings.zone, this.subtreeProgress());
    }
    linkTable.scheduleChangedHeartbeats();
  }

  /** @returns the progress of every zone heard of, by name */
  report(): readonly ZoneProgress[] {
    return [...this.progressByZone.values()]
      .map(({ zone, nodes, lowestVersion }) => ({
        zone,
        nodes,
        lowestVersion: Number(lowestVersion),
      }))
      .sort((left, right) => (left.zone < right.zone ? -1 : 1));
  }

  private aggregatesZone(zone: string): boolean {
    const { settings, topologyView } = this.services;
    return zone === settings.zone && topologyView.current.first;
  }
}
