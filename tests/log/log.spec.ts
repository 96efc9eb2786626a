import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { listenOnLoopback, LogServer, MemoryLog } from '@lentillb/standins';
import type { Log } from 'lentillb';
import { Deadline, HttpLog, LogFailureKind, LogStream, SystemClock } from 'lentillb';
import { afterEach, describe, expect, it } from 'vitest';

const clock = new SystemClock();
const STREAM = LogStream.Configuration;
const SHORT_MS = 300;
const LONG_MS = 10_000;

interface Subject {
  readonly log: Log;
  readonly source: MemoryLog;
}

const closers: (() => Promise<unknown>)[] = [];

function createSource(): MemoryLog {
  return new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 50 });
}

const subjects: Readonly<Record<string, () => Promise<Subject>>> = {
  'in memory': async () => {
    const source = createSource();
    return { log: source, source };
  },
  'over HTTP': async () => {
    const source = createSource();
    const server = new LogServer(source, clock);
    await server.listen();
    const log = new HttpLog(server.url);
    closers.push(
      () => log.close(),
      () => server.close(),
    );
    return { log, source };
  },
};

function within(durationMs: number): Deadline {
  return Deadline.after(clock, durationMs);
}

function bytes(text: string): Uint8Array {
  return Buffer.from(text);
}

function read(log: Log, from: number, waitMs = 0): ReturnType<Log['read']> {
  return log.read({ stream: STREAM, from, limit: 10, waitMs }, within(LONG_MS));
}

afterEach(async () => {
  for (const close of closers.splice(0)) {
    await close();
  }
});

describe.each(Object.entries(subjects))('log %s', (_, create) => {
  it('should give records consecutive offsets and read them back in order', async () => {
    const { log } = await create();
    const offsets = [];
    for (const text of ['a', 'b', 'c']) {
      offsets.push((await log.append(STREAM, bytes(text), within(LONG_MS))).unwrap());
    }
    const { records, range } = (await read(log, 2)).unwrap();
    expect(offsets).toEqual([1, 2, 3]);
    expect(records.map(({ offset, data }) => [offset, Buffer.from(data).toString()])).toEqual([
      [2, 'b'],
      [3, 'c'],
    ]);
    expect(range).toMatchObject({ earliest: 1, next: 4 });
  });

  it('should keep bytes as they are', async () => {
    const { log } = await create();
    const all = Uint8Array.from({ length: 256 }, (__, index) => index);
    await log.append(STREAM, all, within(LONG_MS));
    const { records } = (await read(log, 1)).unwrap();
    expect([...(records[0]?.data ?? [])]).toEqual([...all]);
  });

  it('should keep streams apart', async () => {
    const { log } = await create();
    await log.append(LogStream.Presence, bytes('p'), within(LONG_MS));
    expect((await log.range(STREAM, within(LONG_MS))).unwrap().next).toBe(1);
  });

  it('should wait for a record to come', async () => {
    const { log } = await create();
    const waiting = read(log, 1, LONG_MS);
    await log.append(STREAM, bytes('late'), within(LONG_MS));
    expect((await waiting).unwrap().records).toHaveLength(1);
  });

  it('should return no records once the wait has passed', async () => {
    const { log } = await create();
    expect((await read(log, 1, 20)).unwrap().records).toEqual([]);
  });

  it('should say that an offset is no longer retained, and from where on it is', async () => {
    const { log, source } = await create();
    await log.append(STREAM, bytes('a'), within(LONG_MS));
    await log.append(STREAM, bytes('b'), within(LONG_MS));
    source.forgetBefore(STREAM, 2);
    const failure = (await read(log, 1)).unwrapErr();
    expect(failure.kind).toBe(LogFailureKind.NotRetained);
    expect(failure.range).toMatchObject({ earliest: 2, next: 3 });
  });

  it('should say that nothing was done during an outage', async () => {
    const { log, source } = await create();
    source.faults.outage = true;
    const appended = await log.append(STREAM, bytes('a'), within(LONG_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.Unavailable);
    expect((await read(log, 1)).unwrapErr().kind).toBe(LogFailureKind.Unavailable);
    source.faults.outage = false;
    expect((await log.range(STREAM, within(LONG_MS))).unwrap().next).toBe(1);
  });

  it('should say that the effect is unknown where an answer is lost after the write', async () => {
    const { log, source } = await create();
    source.faults.loseAnswers = 1;
    const appended = await log.append(STREAM, bytes('a'), within(SHORT_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.UnknownEffect);
    expect((await read(log, 1)).unwrap().records).toHaveLength(1);
  });

  it('should end a slow append at the deadline without claiming that nothing was done', async () => {
    const { log, source } = await create();
    source.faults.delayMs = LONG_MS;
    const appended = await log.append(STREAM, bytes('a'), within(SHORT_MS));
    expect(appended.isOk() || appended.error.kind === LogFailureKind.UnknownEffect).toBe(true);
  });

  it('should refuse appends beyond its rate without taking them', async () => {
    const { log } = await create();
    const appended = await Promise.all(
      Array.from({ length: 120 }, () => log.append(STREAM, bytes('x'), within(LONG_MS))),
    );
    const taken = appended.filter((result) => result.isOk()).length;
    const refused = appended.flatMap((result) => (result.isErr() ? [result.error.kind] : []));
    expect(new Set(refused)).toEqual(new Set([LogFailureKind.Unavailable]));
    expect((await log.range(STREAM, within(LONG_MS))).unwrap().next).toBe(taken + 1);
  });
});

describe('log client', () => {
  async function listen(onConnection: Parameters<typeof createServer>[1]): Promise<HttpLog> {
    const server: Server = createServer(onConnection);
    const log = new HttpLog(`http://${await listenOnLoopback(server)}`);
    closers.push(
      () => log.close(),
      async () => server.close(),
    );
    return log;
  }

  it('should know that nothing was sent where the connection is refused', async () => {
    const log = new HttpLog('http://127.0.0.1:1');
    closers.push(() => log.close());
    const appended = await log.append(STREAM, bytes('a'), within(LONG_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.Unavailable);
  });

  it.each([
    ['closes without an answer', ''],
    ['answers something else', 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello'],
    ['cuts its answer short', 'HTTP/1.1 201 Created\r\ncontent-length: 50\r\n\r\n{"off'],
    ['answers an error', 'HTTP/1.1 500 Oops\r\ncontent-length: 2\r\n\r\n{}'],
    ['answers JSON of another kind', 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'],
  ])('should not know the effect of an append where the log %s', async (_, answer) => {
    const log = await listen((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => socket.end(answer));
    });
    const appended = await log.append(STREAM, bytes('a'), within(LONG_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.UnknownEffect);
  });

  it('should give up on a silent log at the deadline', async () => {
    const log = await listen((socket) => {
      socket.on('error', () => undefined);
    });
    const appended = await log.append(STREAM, bytes('a'), within(SHORT_MS));
    expect(appended.unwrapErr().kind).toBe(LogFailureKind.UnknownEffect);
    const asked = await log.range(STREAM, within(SHORT_MS));
    expect(asked.unwrapErr().kind).toBe(LogFailureKind.Unavailable);
  });
});
