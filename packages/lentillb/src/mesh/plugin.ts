/** Registers the services that maintain the links between nodes. */
import { asClass, asValue } from 'awilix';
import { plugins } from '../kernel/plugin.js';
import type { TopologyStrategy } from '../membership/topology.js';
import { computeTopology } from '../membership/topology.js';
import { EventKind } from '../timeline/event.js';
import { Convergence } from './convergence.js';
import { LinkKeeper } from './linkKeeper.js';
import { LinkTable } from './linkTable.js';
import type { PeerDialer } from './peerDialer.js';
import { ConnectDialer } from './peerDialer.js';
import { PeerListener } from './peerListener.js';
import { LogReaderRole } from './logReaderRole.js';
import { TopologyView } from './topologyView.js';
import { Watcher } from './watcher.js';

declare module '../kernel/services.js' {
  interface Services {
    readonly convergence: Convergence;
    readonly linkKeeper: LinkKeeper;
    readonly linkTable: LinkTable;
    readonly peerDialer: PeerDialer;
    readonly peerListener: PeerListener;
    readonly placement: TopologyStrategy;
    readonly readerRole: LogReaderRole;
    readonly topologyView: TopologyView;
    readonly watcher: Watcher;
  }
}

/**
 * The delay before the links are closed, in milliseconds, in which neighbours receive the last
 * announcement.
 */
const LEFT_ANNOUNCEMENT_DELAY_MS = 50;

plugins.register({
  name: 'mesh',
  needs: ['distribution', 'membership'],
  services: {
    convergence: asClass(Convergence).singleton(),
    linkKeeper: asClass(LinkKeeper).singleton(),
    linkTable: asClass(LinkTable).singleton(),
    peerDialer: asClass(ConnectDialer).singleton(),
    peerListener: asClass(PeerListener).singleton(),
    placement: asValue(computeTopology),
    readerRole: asClass(LogReaderRole).singleton(),
    topologyView: asClass(TopologyView).singleton(),
    watcher: asClass(Watcher).singleton(),
  },
  start: async (services) => {
    const { convergence, fleet, linkKeeper, linkTable, peerListener } = services;
    const { readerRole, stopping, topologyView, versionStore, watcher } = services;
    fleet.subscribe((announcement) => linkTable.forwardAnnouncement(announcement));
    versionStore.subscribe(() => {
      linkTable.forwardRecords();
      convergence.refresh();
    });
    topologyView.subscribe((topology) => {
      linkKeeper.apply(topology);
      readerRole.update();
      convergence.refresh();
    });
    await peerListener.listen();
    watcher.run(stopping);
  },
  leave: ({ announcer, timeline }) => {
    announcer.announceLeaving();
    timeline.record(EventKind.NodeLeaving);
  },
  stop: async ({ announcer, clock, linkKeeper, peerListener, readerRole }) => {
    readerRole.release();
    announcer.announceLeft();
    await clock.sleep(LEFT_ANNOUNCEMENT_DELAY_MS);
    await linkKeeper.close();
    await peerListener.close();
  },
});
