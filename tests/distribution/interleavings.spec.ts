import fc from 'fast-check';
import type { LogRecord } from 'lentillb';
import type { ConfigurationState } from 'lentillb/distribution/configurationState.js';
import { fromPlainState, textOf, toPlainState } from 'lentillb/distribution/configurationState.js';
import { decodeState, encodeState } from 'lentillb/distribution/configurationRecord.js';
import type { VersionStore } from 'lentillb/distribution/versionStore.js';
import { TableStore } from 'lentillb/routing/table/tableStore.js';
import { describe, expect, it } from 'vitest';
import { logRecord, publishRecord } from '../support/records.js';
import { rulesNamed } from '../support/rules.js';
import { createStore } from '../support/testStore.js';

const RECORDS = 8;
const NODES = 3;

/** One operator's step: which of the latest versions it edits, and what it writes. */
const edits = fc.array(fc.tuple(fc.nat(2), fc.constantFrom('a', 'b', 'c', '!')), {
  minLength: RECORDS,
  maxLength: RECORDS,
});

/** One step of the network: a record reaches a node, or a node gets another's whole state. */
const steps = fc.array(
  fc.record({
    node: fc.nat(NODES - 1),
    from: fc.nat(NODES - 1),
    offset: fc.integer({ min: 1, max: RECORDS }),
    kind: fc.constantFrom('record', 'record', 'record', 'next', 'next', 'state', 'restart'),
  }),
  { minLength: 20, maxLength: 60 },
);

interface History {
  readonly records: readonly LogRecord[];
  /** The state after each offset. */
  readonly states: readonly ConfigurationState[];
}

/** Lets operators race: some edit an old version, some write faulty rules. */
function writeHistory(choices: readonly (readonly [number, string])[]): History {
  const { store } = createStore();
  store.beginEmpty();
  const records: LogRecord[] = [];
  const states = [store.state as ConfigurationState];
  choices.forEach(([back, name], index) => {
    const edited = states[Math.max(0, states.length - 1 - back)] as ConfigurationState;
    const after = rulesNamed(name);
    const publishId = `p${index}`;
    const edit = { base: edited.version, before: textOf(edited), after, publishId };
    const record = logRecord(index + 1, publishRecord(edit));
    records.push(record);
    store.offer(record);
    states.push(store.state as ConfigurationState);
  });
  return { records, states };
}

interface Node {
  store: VersionStore;
  tables: TableStore;
}

function createNode(): Node {
  const { store } = createStore();
  return { store, tables: new TableStore({ versionStore: store }) };
}

function carry(state: ConfigurationState): ConfigurationState {
  return fromPlainState(decodeState(encodeState(toPlainState(state))).unwrap()).unwrap();
}

describe('configuration under random interleavings', () => {
  it('should be never older, never in part, and what the log says', () => {
    fc.assert(
      fc.property(edits, steps, (choices, deliveries) => {
        const { records, states } = writeHistory(choices);
        const nodes = Array.from({ length: NODES }, createNode);
        nodes[0]?.store.beginEmpty();
        deliveries.forEach(({ node: index, from, offset, kind }) => {
          const node = nodes[index] as Node;
          const versionBefore = node.store.state?.version ?? 0;
          const sent = records[(kind === 'next' ? node.store.through + 1 : offset) - 1];
          const other = nodes[from]?.store.state;
          if (kind === 'restart') {
            nodes[index] = createNode();
            return;
          }
          if (kind === 'state' && other !== undefined) {
            node.store.adopt(carry(other), 'a peer');
          } else if (sent !== undefined && kind !== 'state') {
            node.store.offer(sent);
          }
          const { state, through } = node.store;
          expect(state?.version ?? 0).toBeGreaterThanOrEqual(versionBefore);
          expect(node.tables.current?.version ?? 0).toBe(state?.version ?? 0);
          if (state !== undefined) {
            expect(toPlainState(state)).toEqual(
              toPlainState(states[through] as ConfigurationState),
            );
            const named = state.lines.length === 0 ? [] : [state.lines[0]?.text.split(' ')[1]];
            expect(node.tables.current?.serviceNames() ?? []).toEqual(named);
          }
        });
        nodes.forEach(({ store }) => {
          const last = states[RECORDS] as ConfigurationState;
          store.adopt(carry(last), 'a peer');
          expect(store.state?.version).toBe(last.version);
        });
      }),
      { seed: 11, numRuns: 300 },
    );
  });
});
