/** What the soak does to a fleet, by kind. */
import type { KeyedLogServer } from '@lentillb/standins';
import { StoreFault } from '@lentillb/standins';
import type { Clock } from 'lentillb/sidecar';
import { DisturbanceKind } from './record.js';
import type { Relay } from './relay.js';
import { RelayFault } from './relay.js';
import type { SoakHost } from './soakHost.js';

/** What a fault is done to. */
export interface FaultTarget {
  readonly clock: Clock;
  readonly host: SoakHost;
  readonly store: KeyedLogServer;
  /** How long it lasts, in milliseconds. */
  readonly forMs: number;
}

/** One kind of fault. */
export interface Fault {
  readonly kind: DisturbanceKind;
  /** Whether it concerns the store, and so all hosts. */
  readonly everywhere: boolean;
  /** Does it, and ends it. */
  readonly play: (target: FaultTarget) => Promise<void>;
}

function disturb(relayOf: (host: SoakHost) => Relay, fault: RelayFault): Fault {
  return {
    kind: DisturbanceKind.Trouble,
    everywhere: false,
    play: async ({ clock, forMs, host }) => {
      relayOf(host).disturb(fault);
      await clock.sleep(forMs);
      relayOf(host).disturb(undefined);
    },
  };
}

function disturbStore(fault: StoreFault): Fault {
  return {
    kind: DisturbanceKind.Store,
    everywhere: true,
    play: async ({ clock, forMs, store }) => {
      store.misbehave(fault);
      await clock.sleep(forMs);
      store.misbehave(undefined);
    },
  };
}

const relays = {
  caller: (host: SoakHost): Relay => host.toNode,
  'backend-server': (host: SoakHost): Relay => host.toBackendServer,
  'store-connection': (host: SoakHost): Relay => host.toStore,
};

const relayFaults = Object.entries(relays).flatMap(([name, relayOf]) =>
  Object.values(RelayFault).map((fault) => [`${name} ${fault}`, disturb(relayOf, fault)] as const),
);

const storeFaults = Object.values(StoreFault).map(
  (fault) => [`store ${fault}`, disturbStore(fault)] as const,
);

/** All faults by name. */
export const faults: Readonly<Record<string, Fault>> = {
  ...Object.fromEntries([...relayFaults, ...storeFaults]),
  'store compaction': {
    kind: DisturbanceKind.Store,
    everywhere: true,
    play: async ({ store }) => {
      store.compact('keyed.op');
      store.compact('keyed.servers');
      await Promise.resolve();
    },
  },
  'node kill': {
    kind: DisturbanceKind.Trouble,
    everywhere: false,
    play: async ({ clock, forMs, host }) => {
      await host.killNode();
      await clock.sleep(forMs);
      host.startNode();
    },
  },
  'node freeze': {
    kind: DisturbanceKind.Pause,
    everywhere: false,
    play: async ({ clock, forMs, host }) => {
      host.freeze(true);
      await clock.sleep(forMs);
      host.freeze(false);
    },
  },
  'node stop': {
    kind: DisturbanceKind.Planned,
    everywhere: false,
    play: async ({ host }) => {
      await host.stopNode();
      host.startNode();
    },
  },
  'backend server crash': {
    kind: DisturbanceKind.Trouble,
    everywhere: false,
    play: ({ host }) => host.replaceBackendServer(),
  },
  'backend server release': {
    kind: DisturbanceKind.Planned,
    everywhere: false,
    play: ({ host }) => host.releaseBackendServer(),
  },
};
