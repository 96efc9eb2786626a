import type { Result } from 'ts-results-es';
import { decodeConfiguration, decodeHeartbeat, LogStore } from '@lentillb/platform';
import { Deadline, SystemClock } from 'lentillb';
import { decodeAnnouncement } from 'lentillb/directory/announcement.js';
import { DeliveryState } from 'lentillb/directory/delivery.js';
import { SuspectReportKind } from 'lentillb/directory/suspectReport.js';
import type { GossipMessage } from 'lentillb/peers/gossipMessage.js';
import { decodeGossipMessage, encodeGossipMessage } from 'lentillb/peers/gossipMessage.js';
import { decodeNodeState } from 'lentillb/peers/nodeState.js';
import { decodeSuspectReports, encodeSuspectReports } from 'lentillb/peers/suspectReportMessage.js';
import {
  decodeQuestions,
  decodeStates,
  encodeQuestions,
  encodeStates,
} from 'lentillb/serving/deliveryProtocol.js';
import { Topic } from 'lentillb/store/keyedStore.js';
import * as fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { applyEdit, byteEdit } from '../support/byteEdits.js';
import type { ByteEdit } from '../support/byteEdits.js';
import { ScriptedServer } from '../support/scriptedServer.js';
import { createRoute } from '../support/sidecarFleet.js';
import { playEdits } from '../support/spoiledMessages.js';
import type { UncaughtErrors } from '../support/uncaughtErrors.js';
import { recordUncaughtErrors } from '../support/uncaughtErrors.js';

const SEED = 47;
const RUNS = 2_000;
const TIMEOUT_MS = 200;
/** The timeout of a call whose answer is sound, in milliseconds. */
const SOUND_TIMEOUT_MS = 5_000;

/** A call to the store with a timeout in milliseconds. */
type Call = (timeoutMs: number) => Promise<unknown>;

const clock = new SystemClock();

const announcement = {
  host: '10.0.0.1',
  zone: 'a',
  gateAddress: '10.0.0.1:7601',
  peerAddress: '10.0.0.1:7600',
  incarnation: 7,
  sequence: 3,
  backendServer: { id: 'i-1', startedAtMs: 1, service: 's', slots: 4, state: 'ready' },
  interruptedRuns: [{ contentHash: 'a'.repeat(24), runHash: 1, endedAtMs: 1 }],
};
const limits = {
  'max-header-bytes': 16_384,
  'max-body-bytes': 100_000,
  'header-timeout': '3s',
  'idle-timeout': '15s',
};
const configuration = {
  version: '0000002a',
  routes: { pages: createRoute('pages', 'idempotent') },
  services: { pages: {} },
  limits,
};
const heartbeat = {
  service: 's',
  address: '10.0.0.1:80',
  capacity: 4,
  state: 'ready',
  'warmup-left': '5ms',
  sequence: 2,
  born: 1_000,
};
const gossip: GossipMessage = {
  kind: 2,
  readsStore: true,
  configurationVersion: 9,
  directoryDigest: 8,
  storeEra: 1,
  readAgesMs: { [Topic.Operator]: 5, [Topic.Hosts]: 6 },
  gateLoads: [
    { hostHash: 4, load: 2, failureShare: 0.5, serviceTimes: [{ routeHash: 3, meanMs: 7 }] },
  ],
};

function asJson(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function parsed(bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
}

/** The messages that nodes get, and their decoders. */
const decoders: Readonly<Record<string, readonly [Buffer, (bytes: Buffer) => unknown]>> = {
  'announcement of a host': [asJson(announcement), decodeAnnouncement],
  'configuration of the operator': [asJson(configuration), decodeConfiguration],
  'state of a node': [
    asJson({ announcements: [announcement] }),
    (bytes): Result<unknown, string> => decodeNodeState(bytes.toString()),
  ],
  heartbeat: [asJson(heartbeat), (bytes) => decodeHeartbeat('i', parsed(bytes), clock.now())],
  inquiry: [encodeQuestions([{ key: '1 r-1', processId: 44 }]), decodeQuestions],
  'answer to an inquiry': [
    encodeStates([DeliveryState.NotRun, DeliveryState.Ended]),
    (bytes) => decodeStates(bytes, 2),
  ],
  'gossip message': [encodeGossipMessage(gossip), decodeGossipMessage],
  'report of suspect requests': [
    encodeSuspectReports([
      { kind: SuspectReportKind.Answered, contentHash: 'a'.repeat(24) },
      {
        kind: SuspectReportKind.Interrupted,
        run: { contentHash: 'b'.repeat(24), runHash: 1, hostHash: 2, endedAtMs: 3 },
      },
    ]),
    decodeSuspectReports,
  ],
};

// Guards against messages from outside for which a decoder throws.
describe('spoiled bytes should make no decoder throw', () => {
  it.each(Object.entries(decoders))('that reads: %s', (_, [message, decode]) => {
    fc.assert(
      fc.property(byteEdit, byteEdit, (first, second) => {
        decode(applyEdit(applyEdit(message, first), second));
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});

describe('spoiled answers of the store should be failures', () => {
  let errors: UncaughtErrors;
  const edits: ByteEdit[] = [];
  let answer: Buffer;
  let server: ScriptedServer;
  let store: LogStore;

  beforeEach(async () => {
    errors = recordUncaughtErrors();
    server = new ScriptedServer((socket) => {
      const fields = `store-era: 1\r\nconnection: close\r\ncontent-length: ${answer.length}`;
      const head = `HTTP/1.1 200 OK\r\n${fields}\r\n\r\n`;
      const whole = Buffer.concat([Buffer.from(head), answer]);
      const edit = edits.pop();
      socket.end(edit === undefined ? whole : applyEdit(whole, edit));
    });
    store = new LogStore(clock, `127.0.0.1:${await server.listen()}`);
  });

  afterEach(() => {
    server.close();
    errors.stop();
  });

  const frame = Buffer.from('\0\0\0\x04\x01kab', 'latin1');
  const calls: Readonly<Record<string, readonly [Buffer, Call]>> = {
    'a read of the newest records': [
      asJson({ items: [{ key: 'k', value: 'YWI=', offset: 0 }], 'has-more': false, end: 1 }),
      (timeoutMs) => store.readNewest(Topic.Hosts, Deadline.after(clock, timeoutMs)),
    ],
    'a read from an offset': [
      Buffer.concat([Buffer.alloc(7), Buffer.of(1), Buffer.alloc(8), frame]),
      (timeoutMs) => store.follow(Topic.Hosts, 0, 0, Deadline.after(clock, timeoutMs)),
    ],
    'a write': [
      asJson({ offset: 3, end: 4 }),
      (timeoutMs) =>
        store.write(Topic.Hosts, 'k', Buffer.from('ab'), Deadline.after(clock, timeoutMs)),
    ],
  };

  it.each(Object.keys(calls))('to %s', async (name) => {
    const [sound, call] = calls[name] as (typeof calls)[string];
    answer = sound;
    await playEdits(async (edit) => {
      edits.push(edit);
      await call(TIMEOUT_MS);
    }, errors);
    edits.length = 0;
    expect(await call(SOUND_TIMEOUT_MS)).toMatchObject({ value: expect.anything() as unknown });
  });
});
