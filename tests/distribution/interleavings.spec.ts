import fc from 'fast-check';
import type { LogRecord } from 'lentillb';
import type { ConfigurationState } from 'lentillb/distribution/configurationState.js';
import {
  fromSerializableState,
  textOf,
  toSerializableState,
} from 'lentillb/distribution/configurationState.js';
import { decodeState, encodeState } from 'lentillb/distribution/configurationRecord.js';
import type { VersionStore } from 'lentillb/distribution/versionStore.js';
import { TableStore } from 'lentillb/routing/table/tableStore.js';
import { describe, expect, it } from 'vitest';
import { createLogRecord, createPublishRecord } from '../support/configurationRecords.js';
import { createRules } from '../support/ruleFiles.js';
import { createVersionStore } from '../support/createVersionStore.js';

const RECORD_COUNT = 8;
const NODE_COUNT = 3;

/** Generates edits: which of the latest versions an operator edits, and the new rules. */
const edits = fc.array(fc.tuple(fc.nat(2), fc.constantFrom('a', 'b', 'c', '!')), {
  minLength: RECORD_COUNT,
  maxLength: RECORD_COUNT,
});

/** Generates steps: a node receives a record or the whole state of another node, or restarts. */
const deliverySteps = fc.array(
  fc.record({
    node: fc.nat(NODE_COUNT - 1),
    from: fc.nat(NODE_COUNT - 1),
    offset: fc.integer({ min: 1, max: RECORD_COUNT }),
    kind: fc.constantFrom('record', 'record', 'record', 'next', 'next', 'state', 'restart'),
  }),
  { minLength: 20, maxLength: 60 },
);

interface History {
  readonly records: readonly LogRecord[];
  /** The state after each offset, from 0. */
  readonly states: readonly ConfigurationState[];
}

/** Creates a log with concurrent edits: some edit an old version, some have faulty rules. */
function createHistory(choices: readonly (readonly [number, string])[]): History {
  const { store } = createVersionStore();
  store.startFromEmptyState();
  const records: LogRecord[] = [];
  const states = [store.state as ConfigurationState];
  choices.forEach(([back, name], index) => {
    const edited = states[Math.max(0, states.length - 1 - back)] as ConfigurationState;
    const after = createRules(name);
    const publishId = `p${index}`;
    const edit = { base: edited.version, before: textOf(edited), after, publishId };
    const record = createLogRecord(index + 1, createPublishRecord(edit));
    records.push(record);
    store.offer(record);
    states.push(store.state as ConfigurationState);
  });
  return { records, states };
}

interface TestNode {
  store: VersionStore;
  tables: TableStore;
}

function createNode(): TestNode {
  const { store } = createVersionStore();
  return { store, tables: new TableStore({ versionStore: store }) };
}

function transferState(state: ConfigurationState): ConfigurationState {
  return fromSerializableState(
    decodeState(encodeState(toSerializableState(state))).unwrap(),
  ).unwrap();
}

describe('configuration under random interleavings', () => {
  it('should never go back to an older version, never apply one partially, and match the log', () => {
    fc.assert(
      fc.property(edits, deliverySteps, (choices, deliveries) => {
        const { records, states } = createHistory(choices);
        const nodes = Array.from({ length: NODE_COUNT }, createNode);
        nodes[0]?.store.startFromEmptyState();
        deliveries.forEach(({ node: index, from, offset, kind }) => {
          const node = nodes[index] as TestNode;
          const versionBefore = node.store.state?.version ?? 0;
          const sent = records[(kind === 'next' ? node.store.through + 1 : offset) - 1];
          const other = nodes[from]?.store.state;
          if (kind === 'restart') {
            nodes[index] = createNode();
            return;
          }
          if (kind === 'state' && other !== undefined) {
            node.store.adopt(transferState(other), 'a peer');
          } else if (sent !== undefined && kind !== 'state') {
            node.store.offer(sent);
          }
          const { state, through } = node.store;
          expect(state?.version ?? 0).toBeGreaterThanOrEqual(versionBefore);
          expect(node.tables.current?.version ?? 0).toBe(state?.version ?? 0);
          if (state !== undefined) {
            expect(toSerializableState(state)).toEqual(
              toSerializableState(states[through] as ConfigurationState),
            );
            const expectedServices =
              state.lines.length === 0 ? [] : [state.lines[0]?.text.split(' ')[1]];
            expect(node.tables.current?.serviceNames() ?? []).toEqual(expectedServices);
          }
        });
        nodes.forEach(({ store }) => {
          const last = states[RECORD_COUNT] as ConfigurationState;
          store.adopt(transferState(last), 'a peer');
          expect(store.state?.version).toBe(last.version);
        });
      }),
      { seed: 11, numRuns: 300 },
    );
  });
});
