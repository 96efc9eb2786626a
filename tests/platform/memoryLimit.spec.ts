import { respondSuccessfully } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { LONG_ANSWER_BODY, MemoryLoads, sendGarbageDatagrams } from '../support/memoryLoads.js';
import { ProgramRun } from '../support/programRun.js';

const BYTES_PER_MEGABYTE = 1_000_000;
/** The memory of the hosts that were reported. */
const LIMIT_MEGABYTES = 200;
/** The memory of the smallest known hosts. */
const SMALLEST_LIMIT_MEGABYTES = 178;
/** The time for which each load stays, in milliseconds. */
const HOLD_MS = 3_000;
const LONG_ANSWER = Buffer.alloc(8 * 1024 * 1024, 'a');
const STORE_RECORD_BYTES = 2 * 1024 * 1024;
const SERVICE_MS = 100;
const TEST_TIMEOUT_MS = 90_000;

const clock = new SystemClock();
let program: ProgramRun;
let loads: MemoryLoads;

beforeEach(() => {
  loads = new MemoryLoads();
});

async function startProgram(limitMegabytes: number): Promise<void> {
  program = new ProgramRun();
  await program.start(limitMegabytes);
  program.backendServer.setHandler((response, run) => {
    if (run.body === LONG_ANSWER_BODY) {
      response.writeHead(200, { 'x-attempt-id': run.requestId, 'x-server-seal': 'seal' });
      response.end(LONG_ANSWER);
      return;
    }
    setTimeout(() => respondSuccessfully(response, run), SERVICE_MS);
  });
}

afterEach(async () => {
  loads.close();
  await program.stop();
});

/** Holds a load, and checks that the process stays within its limit and serves a short request afterwards. */
async function expectWithinLimit(
  load: () => Promise<unknown>,
  limitMegabytes = LIMIT_MEGABYTES,
): Promise<void> {
  await startProgram(limitMegabytes);
  await load();
  await clock.sleep(HOLD_MS);
  const peakMegabytes = (await program.peakMemory()) / BYTES_PER_MEGABYTE;
  expect(peakMegabytes).toBeLessThan(limitMegabytes);
  loads.close();
  await program.until(async () => (await program.send('after')).status === 200);
  expect(program.end).toBeUndefined();
}

/** Does the same, and serves a short request while the load is held. */
async function expectServedWithinLimit(load: () => Promise<unknown>): Promise<void> {
  await expectWithinLimit(async () => {
    await load();
    await program.until(async () => (await program.send('meanwhile')).status === 200);
  });
}

// Guards against a process that exceeds the memory of its host, after which the platform ends it.
describe('memory of the program', () => {
  it.each(['outbound', 'inbound'] as const)(
    'should stay below the limit of the host with unfinished bodies at the listener %s',
    (listener) =>
      expectServedWithinLimit(() => loads.unfinishedBodies(program.addresses[listener], 800)),
    TEST_TIMEOUT_MS,
  );

  it.each(['outbound', 'inbound'] as const)(
    'should stay below the limit of the host with unfinished heads at the listener %s',
    (listener) =>
      expectServedWithinLimit(() => loads.unfinishedHeads(program.addresses[listener], 3_800)),
    TEST_TIMEOUT_MS,
  );

  it.each(['outbound', 'inbound'] as const)(
    'should hold unfinished heads behind requests below the limit of the host at the listener %s',
    (listener) =>
      expectWithinLimit(() =>
        loads.unfinishedHeadsBehindRequests(program.addresses[listener], 3_800),
      ),
    TEST_TIMEOUT_MS,
  );

  it.each(['outbound', 'inbound'] as const)(
    'should hold bodies in chunks of one byte below the limit of the host at the listener %s',
    (listener) => expectWithinLimit(() => loads.tinyChunks(program.addresses[listener], 10)),
    TEST_TIMEOUT_MS,
  );

  it(
    'should hold an answer in chunks of one byte below the limit of the host',
    () =>
      expectWithinLimit(async () => {
        program.backendServer.setHandler((response, run) => {
          if (run.requestId !== 'tiny') {
            respondSuccessfully(response, run);
            return;
          }
          response.writeHead(200, { 'x-attempt-id': run.requestId, 'x-server-seal': 'seal' });
          response.flushHeaders();
          response.socket?.write('1\r\na\r\n'.repeat(4_000_000));
        });
        await program.send('tiny').catch(() => undefined);
      }),
    TEST_TIMEOUT_MS,
  );

  it(
    'should stay below the limit of the host with requests that are pipelined without end',
    async () => {
      await startProgram(LIMIT_MEGABYTES);
      await loads.pipelinedRequests(program.addresses.outbound, 400);
      await clock.sleep(HOLD_MS);
      loads.close();
      await clock.sleep(HOLD_MS);
      expect((await program.peakMemory()) / BYTES_PER_MEGABYTE).toBeLessThan(LIMIT_MEGABYTES);
      expect(program.end).toBeUndefined();
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should serve again within 15 s once callers have left that pipelined without end',
    () => expectWithinLimit(() => loads.pipelinedRequests(program.addresses.outbound, 400)),
    TEST_TIMEOUT_MS,
  );

  it(
    'should go on serving other callers while requests are pipelined without end',
    () => expectServedWithinLimit(() => loads.pipelinedRequests(program.addresses.outbound, 400)),
    TEST_TIMEOUT_MS,
  );

  it(
    'should stay below the limit of the host with long answers that are not read',
    () => expectServedWithinLimit(() => loads.unreadAnswers(program.addresses.outbound, 120)),
    TEST_TIMEOUT_MS,
  );

  it.each([LIMIT_MEGABYTES, SMALLEST_LIMIT_MEGABYTES])(
    'should stay below the limit of the host with all loads at once: %s MB',
    (limitMegabytes) =>
      expectWithinLimit(async () => {
        const { control, inbound, outbound, peer } = program.addresses;
        await loads.idleConnections(outbound, 500);
        program.store.write('keyed.op', 'other', 'o'.repeat(STORE_RECORD_BYTES));
        await Promise.all([
          loads.unfinishedHeads(outbound, 600),
          loads.unfinishedHeads(inbound, 600),
          loads.unfinishedBodies(outbound, 200),
          loads.unfinishedBodies(inbound, 200),
          loads.completeBodies(outbound, 200),
          loads.pipelinedRequests(outbound, 100),
          loads.unreadAnswers(outbound, 120),
          loads.unfinishedHeartbeats(control, 100),
          sendGarbageDatagrams(peer, 20_000),
        ]);
      }, limitMegabytes),
    TEST_TIMEOUT_MS,
  );
});
