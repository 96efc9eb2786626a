import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { listenOnLoopback, LogServer, MemoryLog } from '@lentillb/standins';
import type { Log } from 'lentillb';
import { Deadline, HttpLog, LogFailureKind, LogStream, SystemClock } from 'lentillb';
import { afterEach, describe, expect, it } from 'vitest';

const clock = new SystemClock();
const STREAM = LogStream.Configuration;
const SHORT_TIMEOUT_MS = 300;
const LONG_TIMEOUT_MS = 10_000;

interface LogUnderTest {
  readonly log: Log;
  readonly source: MemoryLog;
}

const cleanups: (() => Promise<unknown>)[] = [];

function createMemoryLog(): MemoryLog {
  return new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 50 });
}

const logFactories: Readonly<Record<string, () => Promise<LogUnderTest>>> = {
  'in memory': async () => {
    const source = createMemoryLog();
    return { log: source, source };
  },
  'over HTTP': async () => {
    const source = createMemoryLog();
    const server = new LogServer(source, clock);
    await server.listen();
    const log = new HttpLog(server.url);
    cleanups.push(
      () => log.close(),
      () => server.close(),
    );
    return { log, source };
  },
};

function deadlineIn(durationMs: number): Deadline {
  return Deadline.after(clock, durationMs);
}

function encode(text: string): Uint8Array {
  return Buffer.from(text);
}

function read(log: Log, from: number, waitMs = 0): ReturnType<Log['read']> {
  return log.read({ stream: STREAM, from, limit: 10, waitMs }, deadlineIn(LONG_TIMEOUT_MS));
}

afterEach(async () => {
  for (const close of cleanups.splice(0)) {
    await close();
  }
});

describe.each(Object.entries(logFactories))('log %s', (_, create) => {
  it('should assign consecutive offsets to records and return them in order', async () => {
    const { log } = await create();
    const offsets = [];
    for (const text of ['a', 'b', 'c']) {
      offsets.push((await log.append(STREAM, encode(text), deadlineIn(LONG_TIMEOUT_MS))).unwrap());
    }
    const { records, range } = (await read(log, 2)).unwrap();
    expect(offsets).toEqual([1, 2, 3]);
    expect(records.map(({ offset, data }) => [offset, Buffer.from(data).toString()])).toEqual([
      [2, 'b'],
      [3, 'c'],
    ]);
    expect(range).toMatchObject({ earliest: 1, next: 4 });
  });

  it('should return the bytes unchanged', async () => {
    const { log } = await create();
    const all = Uint8Array.from({ length: 256 }, (__, index) => index);
    await log.append(STREAM, all, deadlineIn(LONG_TIMEOUT_MS));
    const { records } = (await read(log, 1)).unwrap();
    expect([...(records[0]?.data ?? [])]).toEqual([...all]);
  });

  it('should keep streams separate', async () => {
    const { log } = await create();
    await log.append(LogStream.Presence, encode('p'), deadlineIn(LONG_TIMEOUT_MS));
    expect((await log.range(STREAM, deadlineIn(LONG_TIMEOUT_MS))).unwrap().next).toBe(1);
  });

  it('should wait for a record to be appended', async () => {
    const { log } = await create();
    const waiting = read(log, 1, LONG_TIMEOUT_MS);
    await log.append(STREAM, encode('late'), deadlineIn(LONG_TIMEOUT_MS));
    expect((await waiting).unwrap().records).toHaveLength(1);
  });

  it('should return no records after the wait', async () => {
    const { log } = await create();
    expect((await read(log, 1, 20)).unwrap().records).toEqual([]);
  });

  it('should report that an offset is no longer retained, and the range that is', async () => {
    const { log, source } = await create();
    await log.append(STREAM, encode('a'), deadlineIn(LONG_TIMEOUT_MS));
    await log.append(STREAM, encode('b'), deadlineIn(LONG_TIMEOUT_MS));
    source.deleteBefore(STREAM, 2);
    const failure = (await read(log, 1)).unwrapErr();
    expect(failure.kind).toBe(LogFailureKind.NotRetained);
    expect(failure.range).toMatchObject({ earliest: 2, next: 3 });
  });

  it('should report during an outage that the operation had no effect', async () => {
    const { log, source } = await create();
    source.faults.outage = true;
    const appended = await log.append(STREAM, encode('a'), deadlineIn(LONG_TIMEOUT_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.Unavailable);
    expect((await read(log, 1)).unwrapErr().kind).toBe(LogFailureKind.Unavailable);
    source.faults.outage = false;
    expect((await log.range(STREAM, deadlineIn(LONG_TIMEOUT_MS))).unwrap().next).toBe(1);
  });

  it('should report an unknown effect when the response to an append is lost', async () => {
    const { log, source } = await create();
    source.faults.loseAnswers = 1;
    const appended = await log.append(STREAM, encode('a'), deadlineIn(SHORT_TIMEOUT_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.UnknownEffect);
    expect((await read(log, 1)).unwrap().records).toHaveLength(1);
  });

  it('should end a slow append at the deadline without reporting that it had no effect', async () => {
    const { log, source } = await create();
    source.faults.delayMs = LONG_TIMEOUT_MS;
    const appended = await log.append(STREAM, encode('a'), deadlineIn(SHORT_TIMEOUT_MS));
    expect(appended.isOk() || appended.error.kind === LogFailureKind.UnknownEffect).toBe(true);
  });

  it('should reject appends over the rate limit without storing them', async () => {
    const { log } = await create();
    const appended = await Promise.all(
      Array.from({ length: 120 }, () =>
        log.append(STREAM, encode('x'), deadlineIn(LONG_TIMEOUT_MS)),
      ),
    );
    const taken = appended.filter((result) => result.isOk()).length;
    const refused = appended.flatMap((result) => (result.isErr() ? [result.error.kind] : []));
    expect(new Set(refused)).toEqual(new Set([LogFailureKind.Unavailable]));
    expect((await log.range(STREAM, deadlineIn(LONG_TIMEOUT_MS))).unwrap().next).toBe(taken + 1);
  });
});

describe('log client', () => {
  async function listen(onConnection: Parameters<typeof createServer>[1]): Promise<HttpLog> {
    const server: Server = createServer(onConnection);
    const log = new HttpLog(`http://${await listenOnLoopback(server)}`);
    cleanups.push(
      () => log.close(),
      async () => server.close(),
    );
    return log;
  }

  it('should report that nothing was sent when the connection is refused', async () => {
    const log = new HttpLog('http://127.0.0.1:1');
    cleanups.push(() => log.close());
    const appended = await log.append(STREAM, encode('a'), deadlineIn(LONG_TIMEOUT_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.Unavailable);
  });

  it.each([
    ['closes the connection without a response', ''],
    ['sends a response that is not JSON', 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'],
    ['sends an incomplete response', 'HTTP/1.1 201 Created\r\ncontent-length: 50\r\n\r\n{"off'],
    ['responds with an error', 'HTTP/1.1 500 Oops\r\ncontent-length: 2\r\n\r\n{}'],
    ['sends JSON of another schema', 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'],
  ])('should report an unknown effect of an append when the log %s', async (_, response) => {
    const log = await listen((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.end(response));
    });
    const appended = await log.append(STREAM, encode('a'), deadlineIn(LONG_TIMEOUT_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.UnknownEffect);
  });

  it('should give up at the deadline when the log does not respond', async () => {
    const log = await listen((socket) => {
      socket.on('error', () => undefined);
    });
    const appended = await log.append(STREAM, encode('a'), deadlineIn(SHORT_TIMEOUT_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.UnknownEffect);
    const asked = await log.range(STREAM, deadlineIn(SHORT_TIMEOUT_MS));
    expect(asked.unwrapErr().kind).toBe(LogFailureKind.Unavailable);
  });
});
