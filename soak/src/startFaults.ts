/** Defines the faults of starts, and of callers and backend servers that send what they should not. */
import {
  sendUnfinishedRequests,
  StoreFault,
  takeAddress,
  unfinishedRequests,
} from '@lentillb/standins';
import { onAllHosts, onHost } from './faults.js';
import type { Fault, FaultTarget } from './faults.js';
import { Port } from './ports.js';
import { DisturbanceKind } from './soakRecord.js';

/** The longest time for which a start meets an address that is taken, or half a file. */
const MAX_CONDITION_MS = 1_500;
/** The time in which signals come at a start, and the longest time between two of them. */
const SIGNALS_MS = 1_500;
const MAX_SIGNAL_INTERVAL_MS = 60;
/** One in this many hosts has a backend server that spoils answers. */
const SPOILING_HOST_INTERVAL = 3;
/** The longest time for which all nodes start without their store. */
const MAX_ABSENCE_MS = 3_000;

/** The addresses of a node, the last one for datagrams. */
function listenedAddresses({ host }: FaultTarget): readonly string[] {
  const { control, inbound, ip, outbound, peerPort, ready } = host.addresses;
  const peer = `${ip}:${peerPort}`;
  const gate = host.options.hasGateRelay ? `${ip}:${Port.BehindRelay}` : inbound;
  return [outbound, ready, control, gate, peer, peer];
}

async function startWithTakenAddress(target: FaultTarget): Promise<void> {
  const { clock, durationMs, host } = target;
  const addresses = listenedAddresses(target);
  const index = durationMs % addresses.length;
  await host.killNode();
  const release = await takeAddress(addresses[index] ?? '', index === addresses.length - 1);
  host.startNode();
  await clock.sleep(Math.min(durationMs, MAX_CONDITION_MS));
  release();
}

async function restartAll({ hosts }: FaultTarget): Promise<void> {
  await Promise.all(hosts.map((host) => host.killNode()));
  hosts.forEach((host) => host.startNode());
}

function createSenderFault(part: keyof typeof unfinishedRequests): Fault {
  return onHost(DisturbanceKind.Failure, async ({ clock, durationMs, host }) => {
    const { inbound, outbound } = host.addresses;
    const address = durationMs % 2 === 0 ? inbound : outbound;
    const close = sendUnfinishedRequests(address, unfinishedRequests[part]);
    await clock.sleep(durationMs);
    close();
  });
}

/** The faults that only some deployments play, each in one of three seeds. */
export const startFaults: Readonly<Record<string, Fault>> = {
  'signals at a start': onHost(DisturbanceKind.Failure, async ({ clock, durationMs, host }) => {
    await host.killNode();
    host.startNode();
    const endMs = clock.monotonicMs() + SIGNALS_MS;
    while (clock.monotonicMs() < endMs) {
      await clock.sleep(1 + (durationMs % MAX_SIGNAL_INTERVAL_MS));
      host.reloadSettings(true);
    }
  }),
  'settings rewritten at a start': onHost(
    DisturbanceKind.Failure,
    async ({ clock, durationMs, host }) => {
      const conditionMs = Math.min(durationMs, MAX_CONDITION_MS);
      await host.killNode();
      await host.writeSettings(0);
      host.startNode();
      await clock.sleep(conditionMs / 2);
      await host.writeSettings(0.5);
      await clock.sleep(conditionMs / 2);
      await host.writeSettings();
    },
  ),
  'address taken at a start': onHost(DisturbanceKind.Failure, startWithTakenAddress),
  'restart during an end': onHost(DisturbanceKind.Failure, ({ durationMs, host }) =>
    host.restartDuringEnd(Math.min(durationMs, MAX_CONDITION_MS)),
  ),
  'all nodes killed': onAllHosts(DisturbanceKind.Failure, restartAll),
  'start without the store': onAllHosts(DisturbanceKind.Failure, async (target) => {
    const { clock, durationMs, store } = target;
    store.setFault(StoreFault.Refuse);
    await restartAll(target);
    await clock.sleep(Math.min(durationMs, MAX_ABSENCE_MS));
    store.setFault(undefined);
  }),
  'many connections': createSenderFault('none'),
  'unfinished heads': createSenderFault('head'),
  'unfinished bodies': createSenderFault('body'),
  'spoiled answers': onAllHosts(DisturbanceKind.Failure, async ({ durationMs, host, hosts }) => {
    const spoiling = hosts.filter(
      ({ options }) => (options.index - host.options.index) % SPOILING_HOST_INTERVAL === 0,
    );
    await Promise.all(
      spoiling.map(({ backendServer }) => backendServer.behave('hasSpoiledAnswers', durationMs)),
    );
  }),
};
