import { SeededRandomness } from 'lentillb';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { decodeNodeState, encodeNodeState } from 'lentillb/peers/nodeState.js';
import type { StorePosition } from 'lentillb/peers/nodeState.js';
import { MeshState } from 'lentillb/sidecar/meshState.js';
import { StoreEraTracker } from 'lentillb/store/storeEraTracker.js';
import { Err } from 'ts-results-es';
import { beforeEach, describe, expect, it } from 'vitest';
import { MemoryKeyedStore } from '../support/memoryKeyedStore.js';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const HELD_VERSION = 7;
const ERA = 3;

let era: StoreEraTracker;
let state: MeshState;

function accept(position: StorePosition | undefined): void {
  state.acceptState({ change: undefined, announcements: [], position });
}

beforeEach(() => {
  const clock = new EventClock();
  era = new StoreEraTracker();
  era.observe(ERA);
  state = new MeshState(
    {
      clock,
      randomness: new SeededRandomness(1),
      store: new MemoryKeyedStore(clock),
      era,
      log: new DecisionLog(clock, { info: () => undefined, warn: () => undefined }),
    },
    { host: 'h', zone: 'z', configurationKey: 'c', decodeConfiguration: () => Err('none') },
    {
      askPeers: () => Promise.resolve(),
      onHostsLoaded: () => undefined,
      onStoreRead: () => undefined,
      onOwnRecord: () => undefined,
    },
  );
  state.configuration.activateIfNewer({ version: HELD_VERSION, routes: [], limits: LIMITS });
});

describe('the position of another node in the store', () => {
  it('should be taken over for the version that is held', () => {
    accept({ era: ERA, version: HELD_VERSION, nextOffset: 12 });
    expect(state.position).toEqual({ era: ERA, version: HELD_VERSION, nextOffset: 12 });
  });

  it('should not skip a version that is not held', () => {
    accept({ era: ERA, version: HELD_VERSION + 1, nextOffset: 12 });
    expect(state.position).toBeUndefined();
  });

  it('should not count in another era of the store', () => {
    accept({ era: ERA - 1, version: HELD_VERSION, nextOffset: 12 });
    accept({ version: HELD_VERSION, nextOffset: 12 });
    expect(state.position).toBeUndefined();
  });

  it('should be forgotten when the store goes back to an older copy', () => {
    accept({ era: ERA, version: HELD_VERSION, nextOffset: 12 });
    era.observe(ERA + 1);
    expect(state.position).toBeUndefined();
  });

  it('should not go back', () => {
    accept({ era: ERA, version: HELD_VERSION, nextOffset: 12 });
    accept({ era: ERA, version: HELD_VERSION - 2, nextOffset: 5 });
    expect(state.position?.nextOffset).toBe(12);
  });

  it.each([{ nextOffset: -1 }, { nextOffset: 'x' }, 'x', null, { nextOffset: 3 }])(
    'should be left out when it is malformed, and the rest of the state holds: %j',
    (position) => {
      const decoded = decodeNodeState(JSON.stringify({ announcements: [], position })).unwrap();
      expect(decoded.position).toBeUndefined();
      expect(decoded.announcements).toEqual([]);
    },
  );

  it('should be the same after it was encoded and decoded', () => {
    const position = { era: ERA, version: HELD_VERSION, nextOffset: 12 };
    const text = encodeNodeState({ change: undefined, announcements: [], position });
    expect(decodeNodeState(text).unwrap().position).toEqual(position);
  });
});
