/** Aggregates the configuration progress of all nodes along the trees of the zones. */
import { create } from '@bufbuild/protobuf';
import type { Progress } from '@lentillb/protocol';
import { LinkRole, ProgressSchema } from '@lentillb/protocol';
import type { Services } from '../kernel/services.js';

/** The configuration progress of the nodes of one zone. */
export interface ZoneProgress {
  readonly zone: string;
  /** The number of nodes included. */
  readonly nodes: number;
  /** The lowest version in force on any of these nodes. */
  readonly lowestVersion: number;
}

type Dependencies = Pick<Services, 'linkTable' | 'settings' | 'topologyView' | 'versionStore'>;

/** Aggregates and reports the progress of each zone. */
export class Convergence {
  private readonly progressByZone = new Map<string, Progress>();

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** @returns the progress of this node and all nodes below it in the tree of its zone */
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
      // Nodes with different views of the fleet can be each other's parents, which would make the
      // sum grow without end; the size of the zone limits it.
      nodes: Math.min(counted, topologyView.current.zoneSize),
      lowestVersion: below.reduce(
        (lowest, child) => (child.lowestVersion < lowest ? child.lowestVersion : lowest),
        own,
      ),
    });
  }

  /**
   * Selects the progress to send over a link: only the own zone's to other zones, and that of all
   * zones to children.
   *
   * @param role - the purpose of the link
   * @returns the progress of these zones
   */
  zonesFor(role: LinkRole): Progress[] {
    const { settings, topologyView } = this.services;
    if (role === LinkRole.ZONE) {
      const own = this.progressByZone.get(settings.zone);
      return topologyView.current.first && own !== undefined ? [own] : [];
    }
    return [...this.progressByZone.values()];
  }

  /**
   * Stores the progress of zones that another node reported.
   *
   * @param zones - the progress of whole zones
   */
  updateZones(zones: readonly Progress[]): void {
    const others = zones.filter(({ zone }) => !this.aggregatesZone(zone));
    others.forEach((progress) => this.progressByZone.set(progress.zone, progress));
  }

  /** Recomputes the progress of the own zone, and schedules heartbeats that report a change. */
  refresh(): void {
    const { linkTable, settings, topologyView } = this.services;
    if (topologyView.current.first) {
      this.progressByZone.set(settings.zone, this.subtreeProgress());
    }
    linkTable.scheduleChangedHeartbeats();
  }

  /** @returns the progress of every known zone, sorted by name */
  report(): readonly ZoneProgress[] {
    return [...this.progressByZone.values()]
      .map(({ zone, nodes, lowestVersion }) => ({
        zone,
        nodes,
        lowestVersion: Number(lowestVersion),
      }))
      .sort((left, right) => (left.zone < right.zone ? -1 : 1));
  }

  /** Returns whether this node computes the progress of a zone itself, as the root of its tree. */
  private aggregatesZone(zone: string): boolean {
    const { settings, topologyView } = this.services;
    return zone === settings.zone && topologyView.current.first;
  }
}
