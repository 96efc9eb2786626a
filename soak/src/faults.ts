/** Defines the faults that the soak test injects into the fleet. */
import type { KeyedLogServer, Relay } from '@lentillb/standins';
import { RelayFault, StoreFault } from '@lentillb/standins';
import type { Clock } from 'lentillb/sidecar';
import type { SoakHost } from './soakHost.js';
import { DisturbanceKind } from './soakRecord.js';

const HOSTS_TOPIC = 'keyed.lentillb-hosts';
/** The longest time for which the store is away before it returns with an older copy, in milliseconds. */
const MAX_ABSENCE_MS = 1_500;
/** The number of host records that the older copy lacks. */
const LOST_RECORDS = 4;

/** The shortest time for which a backend server states a limit, in milliseconds. */
const MIN_LIMIT_MS = 3_000;
/** The shortest time for which a crashing request comes again, and how often, in milliseconds. */
const MIN_CRASHING_MS = 4_000;
const CRASHING_INTERVAL_MS = 150;

/** The parts of the fleet that a fault acts on, and its duration. */
export interface FaultTarget {
  readonly clock: Clock;
  readonly host: SoakHost;
  /** All hosts. */
  readonly hosts: readonly SoakHost[];
  readonly store: KeyedLogServer;
  /** The duration of the fault, in milliseconds; faults that end by themselves ignore it. */
  readonly durationMs: number;
}

/** A fault that the soak test can inject. */
export interface Fault {
  readonly kind: DisturbanceKind;
  /** Whether the fault affects all hosts, as faults of the store do. */
  readonly affectsAllHosts: boolean;
  /** Starts the fault, waits for its duration and ends it. */
  readonly inject: (target: FaultTarget) => Promise<void>;
}

type Inject = Fault['inject'];

/** @returns a fault of one host */
export function onHost(kind: DisturbanceKind, inject: Inject): Fault {
  return { kind, affectsAllHosts: false, inject };
}

/** @returns a fault that affects all hosts */
export function onAllHosts(kind: DisturbanceKind, inject: Inject): Fault {
  return { kind, affectsAllHosts: true, inject };
}

function createRelayFault(
  selectRelay: (host: SoakHost) => Relay,
  fault: RelayFault,
  kind: DisturbanceKind = DisturbanceKind.Failure,
): Fault {
  return onHost(kind, async ({ clock, durationMs, host }) => {
    selectRelay(host).setFault(fault);
    await clock.sleep(durationMs);
    selectRelay(host).setFault(undefined);
  });
}

function createStoreFault(fault: StoreFault): Fault {
  return onAllHosts(DisturbanceKind.StoreFault, async ({ clock, durationMs, store }) => {
    store.setFault(fault);
    await clock.sleep(durationMs);
    store.setFault(undefined);
  });
}

const relaySelectors = {
  caller: (host: SoakHost): Relay => host.toNode,
  'backend-server': (host: SoakHost): Relay => host.toBackendServer,
  'store-connection': (host: SoakHost): Relay => host.toStore,
};

const relayFaults = Object.entries(relaySelectors).flatMap(([name, selectRelay]) =>
  Object.values(RelayFault).map(
    (fault) => [`${name} ${fault}`, createRelayFault(selectRelay, fault)] as const,
  ),
);

const storeFaults = Object.values(StoreFault).map(
  (fault) => [`store ${fault}`, createStoreFault(fault)] as const,
);

/**
 * Faults that were added after seeds had been kept as regression cases. They are drawn separately, so
 * that the earlier faults of a seed stay the same; a seed selects them by their order.
 */
export const additionalFaults: Readonly<Record<string, Fault>> = {
  'store older copy': onAllHosts(
    DisturbanceKind.StoreFault,
    async ({ clock, durationMs, store }) => {
      store.setFault(StoreFault.Refuse);
      await clock.sleep(Math.min(durationMs, MAX_ABSENCE_MS));
      store.restoreOlderCopy(HOSTS_TOPIC, LOST_RECORDS);
      store.setFault(undefined);
    },
  ),
  'settings reload': onHost(DisturbanceKind.Planned, async ({ host }) => {
    host.reloadSettings();
    await Promise.resolve();
  }),
};

/** The faults that backend servers state or show under requests; drawn after the additional faults. */
export const statementFaults: Readonly<Record<string, Fault>> = {
  'stated limit': onHost(DisturbanceKind.Planned, ({ durationMs, host }) =>
    host.backendServer.stateLimit(durationMs + MIN_LIMIT_MS),
  ),
  'stated departure': onHost(DisturbanceKind.Planned, ({ host }) =>
    host.backendServer.leaveByStatement(),
  ),
  // Each host whose backend server ends is recorded as disturbed by itself.
  'crashing request': onHost(DisturbanceKind.Planned, async ({ clock, durationMs, host }) => {
    const endMs = clock.monotonicMs() + durationMs + MIN_CRASHING_MS;
    while (clock.monotonicMs() < endMs) {
      await host.sendCrashingRequest();
      await clock.sleep(CRASHING_INTERVAL_MS);
    }
  }),
};

/** The number of times that open connections go silent in one fault, each time with those opened since. */
const SILENCE_COUNT = 3;

function createSilenceFault(selectRelay: (host: SoakHost) => Relay): Fault {
  return onHost(DisturbanceKind.Failure, async ({ clock, durationMs, host }) => {
    for (let count = 0; count < SILENCE_COUNT; count += 1) {
      selectRelay(host).silenceOpenConnections();
      await clock.sleep(durationMs / SILENCE_COUNT);
    }
  });
}

/** Open connections that go silent for good, and long runs at a planned stop; drawn after statements. */
export const silenceFaults: Readonly<Record<string, Fault>> = {
  'silent store connections': createSilenceFault(relaySelectors['store-connection']),
  'silent backend-server connections': createSilenceFault(relaySelectors['backend-server']),
  'node stop under long runs': onHost(DisturbanceKind.Planned, ({ host }) =>
    host.stopNodeUnderLongRuns(),
  ),
};

/** Faults of the connections between nodes, while datagrams arrive. */
export const gateRelayFaults: Readonly<Record<string, Fault>> = {
  'silent node connections': createSilenceFault((host) => host.toGate),
  'slow node connections': createRelayFault(
    (host) => host.toGate,
    RelayFault.Delay,
    DisturbanceKind.SlowConnections,
  ),
};

/** The longest time from the start of a stop until the node is killed, in milliseconds. */
const MAX_KILL_DELAY_MS = 4_500;
/** The time between the stops of a rolling restart: a fraction of a stop, so that they overlap. */
const ROLLING_INTERVAL_MS = 1_200;
/** The share of the hosts that a rolling restart stops. */
const ROLLING_SHARE = 0.5;
/** The number of signals within the time of a fault. */
const SIGNAL_COUNT = 8;

/** Signals and restarts that come in series and overlap, and runs of uneven length; drawn last. */
export const seriesFaults: Readonly<Record<string, Fault>> = {
  'signals in a stop': onHost(DisturbanceKind.Planned, ({ durationMs, host }) =>
    host.stopNodeWithSignals(durationMs / SIGNAL_COUNT),
  ),
  'kill in a stop': onHost(DisturbanceKind.Failure, ({ durationMs, host }) =>
    host.killNodeInStop(Math.min(durationMs, MAX_KILL_DELAY_MS)),
  ),
  'rolling restart': onAllHosts(DisturbanceKind.Planned, async ({ clock, hosts }) => {
    const restarted = hosts.slice(0, Math.ceil(hosts.length * ROLLING_SHARE));
    await Promise.all(
      restarted.map(async (host, index) => {
        await clock.sleep(index * ROLLING_INTERVAL_MS);
        await host.stopNode();
        host.startNode();
      }),
    );
  }),
  'uneven runs': onAllHosts(DisturbanceKind.Planned, async ({ durationMs, hosts }) => {
    await Promise.all(hosts.map((host) => host.backendServer.behave('hasLongRuns', durationMs)));
  }),
};

/** The time that a node takes to start, in milliseconds. */
const START_MS = 1_000;

/** Batches of requests whose callers leave together, at slow nodes and at those that have just started. */
export const batchFaults: Readonly<Record<string, Fault>> = {
  'batches at a slow node': onHost(DisturbanceKind.Freeze, ({ host }) => host.sendBatches()),
  'batches at a cold node': onHost(DisturbanceKind.Freeze, async ({ clock, host }) => {
    await host.stopNode();
    host.startNode();
    await clock.sleep(START_MS);
    await host.sendBatches();
  }),
};

/** The faults that are drawn after all others, in the order in which they were added. */
export const laterFaults: readonly Readonly<Record<string, Fault>>[] = [
  additionalFaults,
  statementFaults,
  silenceFaults,
  gateRelayFaults,
  seriesFaults,
  batchFaults,
];

/** The faults by printed name; a seed selects them by their order. */
export const faults: Readonly<Record<string, Fault>> = {
  ...Object.fromEntries([...relayFaults, ...storeFaults]),
  'store compaction': onAllHosts(DisturbanceKind.StoreFault, async ({ store }) => {
    store.compact('keyed.op');
    store.compact('keyed.servers');
    await Promise.resolve();
  }),
  'node kill': onHost(DisturbanceKind.Failure, async ({ clock, durationMs, host }) => {
    await host.killNode();
    await clock.sleep(durationMs);
    host.startNode();
  }),
  'node freeze': onHost(DisturbanceKind.Freeze, async ({ clock, durationMs, host }) => {
    host.freeze(true);
    await clock.sleep(durationMs);
    host.freeze(false);
  }),
  'node stop': onHost(DisturbanceKind.Planned, async ({ host }) => {
    await host.stopNode();
    host.startNode();
  }),
  'backend server crash': onHost(DisturbanceKind.Failure, ({ host }) =>
    host.backendServer.replace(),
  ),
  'backend server release': onHost(DisturbanceKind.Planned, ({ host }) =>
    host.backendServer.release(),
  ),
};
