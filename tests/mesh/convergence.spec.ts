import { create } from '@bufbuild/protobuf';
import type { Progress } from '@lentillb/protocol';
import { LinkRole, ProgressSchema } from '@lentillb/protocol';
import type { Services } from 'lentillb';
import { Convergence } from 'lentillb/mesh/convergence.js';
import { describe, expect, it } from 'vitest';
import { testSettings } from '../support/testNode.js';

function progress(zone: string, nodes: number, lowestVersion: number): Progress {
  return create(ProgressSchema, { zone, nodes, lowestVersion: BigInt(lowestVersion) });
}

/** Creates the convergence of a node with version 5 in force in a zone of ten nodes. */
function convergenceOf(children: readonly Progress[], first = true): Convergence {
  const links = children.map((below, index) => ({
    toChild: true,
    host: `child-${index}`,
    progress: below,
  }));
  return new Convergence({
    linkTable: { open: () => links, scheduleChangedHeartbeats: () => undefined },
    settings: testSettings({ zone: 'zone-a' }),
    topologyView: { current: { first, zoneSize: 10 } },
    versionStore: { state: { version: 5 } },
  } as unknown as Services);
}

describe('convergence', () => {
  it('should add up the nodes and report their lowest version', () => {
    const convergence = convergenceOf([progress('zone-a', 3, 4), progress('zone-a', 2, 5)]);
    expect(convergence.subtreeProgress()).toMatchObject({ nodes: 6, lowestVersion: 4n });
  });

  it('should not count more nodes than the zone has when parent links form a cycle', () => {
    expect(convergenceOf([progress('zone-a', 4_000, 5)]).subtreeProgress().nodes).toBe(10);
  });

  it('should ignore reports of other nodes about its own zone while it is the first node there', () => {
    const convergence = convergenceOf([]);
    convergence.refresh();
    convergence.updateZones([progress('zone-a', 9, 1), progress('zone-b', 4, 3)]);
    expect(convergence.report()).toEqual([
      { zone: 'zone-a', nodes: 1, lowestVersion: 5 },
      { zone: 'zone-b', nodes: 4, lowestVersion: 3 },
    ]);
  });

  it('should report only its own zone to other zones, and all zones to its children', () => {
    const convergence = convergenceOf([]);
    convergence.refresh();
    convergence.updateZones([progress('zone-b', 4, 3)]);
    expect(convergence.zonesFor(LinkRole.ZONE).map(({ zone }) => zone)).toEqual(['zone-a']);
    expect(
      convergence
        .zonesFor(LinkRole.PARENT)
        .map(({ zone }) => zone)
        .sort(),
    ).toEqual(['zone-a', 'zone-b']);
  });
});
