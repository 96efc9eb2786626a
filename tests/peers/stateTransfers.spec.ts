import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import { ConfigurationStatus } from 'lentillb/configuration/configurationStatus.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import type { NodeState } from 'lentillb/peers/nodeState.js';
import type { StateRequest } from 'lentillb/peers/stateClient.js';
import { StateTransfers } from 'lentillb/peers/stateTransfers.js';
import { runInBackground } from 'lentillb/utils/background.js';
import type { TransferProgress } from 'lentillb/utils/transferProgress.js';
import type { Result } from 'ts-results-es';
import { Ok } from 'ts-results-es';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const HELD_VERSION = 1;
const NEW_VERSION = 2;
const FIRST = 'a1:1';
const SECOND = 'a2:1';
const OTHER_ZONE = 'b1:1';

interface Fetch {
  readonly from: string;
  readonly request: StateRequest;
  readonly answer: (result: Result<NodeState, string>) => void;
}

let clock: ManualClock;
let configuration: ConfigurationHolder;
let status: ConfigurationStatus;
let transfers: StateTransfers;
let fetches: Fetch[];
let versionParts: number;

function activate(version: number): void {
  configuration.activateIfNewer({ version, routes: [], limits: LIMITS });
}

function progressOf(index: number): TransferProgress {
  return fetches[index]?.request.progress as TransferProgress;
}

function hearOf(version: number, from: string): void {
  status.noteVersion(version, from);
  transfers.catchUp({ address: from, inOwnZone: true, version }, 0);
}

beforeEach(async () => {
  clock = new ManualClock();
  configuration = new ConfigurationHolder();
  status = new ConfigurationStatus(clock, configuration);
  activate(HELD_VERSION);
  fetches = [];
  versionParts = 0;
  const log = new DecisionLog(clock, { info: () => undefined, warn: () => undefined });
  const fetchState = (from: string, _heldVersion: number, request: StateRequest) =>
    new Promise<Result<NodeState, string>>((answer) => {
      fetches.push({ from, request, answer });
    });
  transfers = new StateTransfers(
    { clock, configuration, status, fetchState, log },
    {
      onState: ({ change }) => change && configuration.applyIfNewer(change),
      onVersionProgress: () => {
        versionParts += 1;
      },
    },
  );
  await clock.advance(1_000);
});

describe('a transfer of a version', () => {
  it('should leave out the hosts, which a version does not change', () => {
    hearOf(NEW_VERSION, FIRST);
    expect(fetches.map(({ request }) => request.withHosts)).toEqual([false]);
    transfers.stop();
  });

  it('should be repeated at another node after 300 ms without a byte', async () => {
    hearOf(NEW_VERSION, FIRST);
    hearOf(NEW_VERSION, SECOND);
    await clock.advance(320);
    expect(fetches.map(({ from }) => from)).toEqual([FIRST, SECOND]);
    transfers.stop();
  });

  it('should not be repeated while bytes arrive', async () => {
    hearOf(NEW_VERSION, FIRST);
    hearOf(NEW_VERSION, SECOND);
    for (let part = 0; part < 10; part += 1) {
      await clock.advance(200);
      progressOf(0).add(100);
    }
    expect(fetches).toHaveLength(1);
    transfers.stop();
  });

  it('should not wait for a transfer of hosts from the same node', async () => {
    runInBackground(transfers.fetchAll(FIRST));
    await clock.advance(100);
    progressOf(0).add(100);
    hearOf(NEW_VERSION, FIRST);
    expect(fetches.map(({ request }) => request.withHosts)).toEqual([true, false]);
    transfers.stop();
  });

  it('should be cancelled once the version is in force by another way', async () => {
    hearOf(NEW_VERSION, FIRST);
    hearOf(NEW_VERSION, SECOND);
    await clock.advance(320);
    activate(NEW_VERSION);
    expect(fetches.map((_, index) => progressOf(index).isCancelled)).toEqual([true, true]);
    transfers.stop();
  });

  it('should go on while a later version than the one in force is awaited from it', async () => {
    hearOf(NEW_VERSION + 1, FIRST);
    activate(NEW_VERSION);
    await clock.advance(100);
    expect(progressOf(0).isCancelled).toBe(false);
    transfers.stop();
  });
});

describe('a version that only another zone has named', () => {
  const GRACE_MS = 800;

  async function fetchOlderFromOwnZone(): Promise<void> {
    hearOf(NEW_VERSION, FIRST);
    status.noteVersion(NEW_VERSION + 1, OTHER_ZONE);
    const holder = { address: OTHER_ZONE, inOwnZone: false, version: NEW_VERSION + 1 };
    transfers.catchUp(holder, GRACE_MS);
    const change = { baseVersion: HELD_VERSION, version: NEW_VERSION, routes: [], removed: [] };
    fetches[0]?.answer(Ok({ change: { ...change, limits: LIMITS }, announcements: [] }));
    await clock.advance(10);
  }

  it('should not be asked of a node of the own zone that has named an older one', async () => {
    await fetchOlderFromOwnZone();
    await clock.advance(700);
    expect(configuration.version).toBe(NEW_VERSION);
    expect(fetches.map(({ from }) => from)).toEqual([FIRST]);
    transfers.stop();
  });

  it('should be fetched from there once it is due', async () => {
    await fetchOlderFromOwnZone();
    await clock.advance(1_200);
    expect(fetches.map(({ from }) => from)).toContain(OTHER_ZONE);
    transfers.stop();
  });

  it('should be fetched from there once it is due although the own zone is silent', async () => {
    hearOf(NEW_VERSION, FIRST);
    const holder = { address: OTHER_ZONE, inOwnZone: false, version: NEW_VERSION };
    transfers.catchUp(holder, GRACE_MS);
    await clock.advance(1_000);
    expect(fetches.map(({ from }) => from)).toEqual([FIRST, OTHER_ZONE]);
    transfers.stop();
  });

  it('should be fetched from the own zone at once when that names it', async () => {
    await fetchOlderFromOwnZone();
    await clock.advance(400);
    hearOf(NEW_VERSION + 1, SECOND);
    expect(fetches.map(({ from }) => from)).toEqual([FIRST, SECOND]);
    transfers.stop();
  });
});

describe('a transfer of the whole state', () => {
  it('should count as the progress of a version only for a node that lacks one', () => {
    runInBackground(transfers.fetchAll(FIRST));
    progressOf(0).add(1);
    expect(versionParts).toBe(0);
    status.noteVersion(NEW_VERSION, FIRST);
    runInBackground(transfers.fetchAll(SECOND));
    progressOf(1).add(1);
    expect(versionParts).toBe(1);
  });

  it('should go on when a version comes into force meanwhile', async () => {
    const fetched = transfers.fetchAll(FIRST);
    activate(NEW_VERSION);
    expect(fetches.map(({ request }) => request.withHosts)).toEqual([true]);
    expect(progressOf(0).isCancelled).toBe(false);
    fetches[0]?.answer(Ok({ change: undefined, announcements: [] }));
    expect(await fetched).toBe(true);
  });
});
