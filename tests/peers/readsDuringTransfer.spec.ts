import { SeededRandomness } from 'lentillb';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import { ConfigurationStatus } from 'lentillb/configuration/configurationStatus.js';
import { Directory } from 'lentillb/directory/directory.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { Gossip } from 'lentillb/peers/gossip.js';
import { GossipMessageKind } from 'lentillb/peers/gossipMessage.js';
import { StateTransfers } from 'lentillb/peers/stateTransfers.js';
import { StoreReaderRole } from 'lentillb/peers/storeReaderRole.js';
import { Topic } from 'lentillb/store/keyedStore.js';
import { StoreEraTracker } from 'lentillb/store/storeEraTracker.js';
import { Err, Ok } from 'ts-results-es';
import { expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
/** The hosts of a zone by link bandwidth, in megabits per second. The first two read the store. */
const LINKS: Readonly<Record<string, number>> = { a1: 100, a2: 90, a3: 5, a4: 4 };
const OLD_VERSION = 1;
const NEW_VERSION = 2;

function createNode(clock: ManualClock) {
  const directory = new Directory();
  Object.entries(LINKS).forEach(([host, linkMegabits]) => {
    const addresses = { gateAddress: `${host}:2`, peerAddress: `${host}:1` };
    const start = { incarnation: 1, sequence: 1 };
    directory.merge({ host, zone: 'a', linkMegabits, ...addresses, ...start });
  });
  const configuration = new ConfigurationHolder();
  configuration.activateIfNewer({ version: OLD_VERSION, routes: [], limits: LIMITS });
  const source = new ConfigurationHolder();
  source.activateIfNewer({ version: NEW_VERSION, routes: [], limits: LIMITS });
  const location = { host: 'a3', zone: 'a' };
  const role = new StoreReaderRole({ clock, directory }, location);
  let answerFetch: () => void = () => undefined;
  let receiveBytes: () => void = () => undefined;
  const gossip = new Gossip(
    {
      clock,
      randomness: new SeededRandomness(1),
      configuration,
      status: new ConfigurationStatus(clock, configuration),
      directory,
      role,
      era: new StoreEraTracker(),
      gateLoad: () => undefined,
      log: new DecisionLog(clock, { info: () => undefined, warn: () => undefined }),
      transport: { send: () => undefined },
      fetchState: (_address, heldVersion, { progress }) =>
        new Promise((resolve) => {
          receiveBytes = () => progress?.add(1);
          answerFetch = () => {
            const change = source.changeSince(heldVersion);
            resolve(change === undefined ? Err('no change') : Ok({ change, announcements: [] }));
          };
        }),
    },
    location,
    {
      onState: ({ change }) => change && configuration.applyIfNewer(change),
      onGateLoad: () => undefined,
    },
  );
  const hear = (host: string, configurationVersion: number, readAgeMs: number): void =>
    gossip.receive(`${host}:1`, {
      kind: GossipMessageKind.Status,
      readsStore: true,
      configurationVersion,
      directoryDigest: directory.digest,
      storeEra: 0,
      readAgesMs: { operator: readAgeMs, hosts: readAgeMs },
      gateLoads: [],
    });
  return {
    answerFetch: () => answerFetch(),
    receiveBytes: () => receiveBytes(),
    configuration,
    hear,
    role,
  };
}

/** Creates a node that has heard of a read by its reader, 700 ms before. */
async function createLedNode(clock: ManualClock): Promise<ReturnType<typeof createNode>> {
  const node = createNode(clock);
  await clock.advance(10);
  node.hear('a1', OLD_VERSION, 0);
  await clock.advance(700);
  return node;
}

const OTHER = 'a1:1';

it('should leave the store to its reader while the version that it read is fetched', async () => {
  const clock = new ManualClock();
  const { configuration, hear, role } = await createLedNode(clock);
  hear('a1', NEW_VERSION, 0);
  await clock.advance(250);
  expect(configuration.version).toBe(OLD_VERSION);
  expect(role.shouldRead(Topic.Operator)).toBe(false);
});

it('should leave the store to its reader when another zone has named the version before', async () => {
  const clock = new ManualClock();
  const { hear, role } = createNode(clock);
  await clock.advance(10);
  hear('a1', OLD_VERSION, 0);
  hear('b1', NEW_VERSION, 20_000);
  await clock.advance(700);
  hear('a1', NEW_VERSION, 0);
  await clock.advance(250);
  expect(role.shouldRead(Topic.Operator)).toBe(false);
});

it('should read the store when a version that the zone has read does not arrive', async () => {
  const clock = new ManualClock();
  const { hear, role } = await createLedNode(clock);
  hear('a1', NEW_VERSION, 0);
  await clock.advance(620);
  expect(role.shouldRead(Topic.Operator)).toBe(true);
});

it('should read the store although a node keeps naming a version that it does not have', async () => {
  const clock = new ManualClock();
  const { answerFetch, hear, receiveBytes, role } = await createLedNode(clock);
  for (let round = 0; round < 10; round += 1) {
    hear('a4', NEW_VERSION + 5, 20_000);
    await clock.advance(250);
    receiveBytes();
    answerFetch();
  }
  expect(role.shouldRead(Topic.Operator)).toBe(true);
});

it('should leave the store to its reader while parts of the version arrive', async () => {
  const clock = new ManualClock();
  const { hear, receiveBytes, role } = await createLedNode(clock);
  hear('a1', NEW_VERSION, 0);
  for (let part = 0; part < 4; part += 1) {
    await clock.advance(250);
    receiveBytes();
  }
  expect(role.shouldRead(Topic.Operator)).toBe(false);
});

it('should leave the store to its reader once a version is fetched although an older read was heard meanwhile', async () => {
  const clock = new ManualClock();
  const { answerFetch, configuration, hear, role } = await createLedNode(clock);
  hear('a1', NEW_VERSION, 0);
  await clock.advance(20);
  hear('a4', NEW_VERSION, 20_000);
  await clock.advance(170);
  answerFetch();
  await clock.advance(100);
  expect(configuration.version).toBe(NEW_VERSION);
  expect(role.shouldRead(Topic.Operator)).toBe(false);
});

it('should fetch a version within 100 ms that is named shortly after a transfer of hosts', async () => {
  const clock = new ManualClock();
  const configuration = new ConfigurationHolder();
  const status = new ConfigurationStatus(clock, configuration);
  let fetches = 0;
  const fetchState = () => {
    fetches += 1;
    return Promise.resolve(Ok({ change: undefined, announcements: [] }));
  };
  const log = new DecisionLog(clock, { info: () => undefined, warn: () => undefined });
  const transfers = new StateTransfers(
    { clock, configuration, status, fetchState, log },
    { onState: () => undefined, onVersionProgress: () => undefined },
  );
  transfers.request(OTHER);
  await clock.advance(200);
  expect(fetches).toBe(1);
  status.noteVersion(NEW_VERSION, OTHER);
  transfers.catchUp({ address: OTHER, inOwnZone: true, version: NEW_VERSION }, 0);
  await clock.advance(100);
  expect(fetches).toBe(2);
  transfers.stop();
});
