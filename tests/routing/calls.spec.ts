import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { MemoryLog } from '@lentillb/standins';
import type { RunningNode } from '@lentillb/node';
import { EventKind, SystemClock } from 'lentillb';
import { request } from 'undici';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { RawConnection } from '../support/rawConnection.js';
import { createLogRecord, createPublishRecord } from '../support/configurationRecords.js';
import type { Script } from '../support/scriptedServer.js';
import { encodeResponse, ScriptedServer } from '../support/scriptedServer.js';
import { startTestNode, waitFor } from '../support/testNode.js';

const DEADLINE_MS = 400;
const RULES = `service pages port any slots 2 connections 16 ramp 0s drain 5s # Test: reading
route GET /pages/** to pages within ${DEADLINE_MS}ms repeat priority normal # Test: reading may be repeated
route POST /pages to pages within ${DEADLINE_MS}ms once priority normal # Test: written at most once
retry pages attempts 3 budget 50% # Test: reading survives
service none port any slots 2 connections 16 ramp 0s drain 5s # Test: nobody announces it
route GET /none to none within 1s repeat priority normal # Test: has no backend server
`;

let entryNode: RunningNode;
let serverNode: RunningNode;
const servers: ScriptedServer[] = [];

interface Answer {
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  readonly text: string;
  /** Is true if the connection was closed before the answer was complete. */
  readonly broken: boolean;
}

async function call(method: 'GET' | 'POST', path = '/pages'): Promise<Answer> {
  const { statusCode, headers, body } = await request(`${entryNode.callUrl}${path}`, {
    method,
    body: method === 'POST' ? 'once' : undefined,
  });
  const outcome = String(headers['lentillb-outcome'] ?? '');
  const reason = String(headers['lentillb-reason'] ?? '');
  try {
    return { status: statusCode, outcome, reason, text: await body.text(), broken: false };
  } catch {
    return { status: statusCode, outcome, reason, text: '', broken: true };
  }
}

function announcePort(port: number, id: string): void {
  serverNode.services.backendServerRegistry.announce({
    id,
    service: 'pages',
    address: '127.0.0.1',
    port,
    slots: 2,
    state: 'ready',
  });
}

/** Announces a scripted backend server on the second node and waits until the first knows it. */
async function announce(script: Script, id = 'scripted'): Promise<ScriptedServer> {
  const server = new ScriptedServer(script);
  servers.push(server);
  const port = await server.listen();
  announcePort(port, id);
  await waitFor(
    () => entryNode.services.fleetView.endpointsOf('pages').some((known) => known.id === id),
    'the entry node to know the backend server',
  );
  return server;
}

beforeAll(async () => {
  const clock = new SystemClock();
  const log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 100 });
  const start = (host: string): Promise<RunningNode> =>
    startTestNode({ host, leaseMs: 60_000 }, { replacements: { log } });
  [entryNode, serverNode] = await Promise.all([start('entry'), start('beside')]);
  await waitFor(
    () => [entryNode, serverNode].every(({ services }) => services.fleet.present().length === 2),
    'the two nodes to discover each other',
  );
  const record = createPublishRecord({ base: 0, before: '', after: RULES });
  [entryNode, serverNode].forEach(({ services }) => {
    services.versionStore.startFromEmptyState();
    services.versionStore.offer(createLogRecord(1, record));
  });
  await Promise.all([entryNode.waitUntilReady(), serverNode.waitUntilReady()]);
});

afterEach(async () => {
  servers.splice(0).forEach((server) => server.close());
  serverNode.services.backendServerRegistry
    .all()
    .forEach(({ id }) => serverNode.services.backendServerRegistry.remove(id, 'test is over'));
  await waitFor(
    () => entryNode.services.fleetView.endpointsOf('pages').length === 0,
    'the entry node to remove the backend servers',
  );
});

afterAll(async () => {
  await Promise.all([entryNode.stop(), serverNode.stop()]);
});

/** Status lines of answers that no caller may get. */
const INVALID_STATUS_LINES = [
  'HTTP/1.1 000 X',
  'HTTP/1.1 000',
  'HTTP/1.1 0',
  'HTTP/1.1 0 X',
  'HTTP/1.1 099 X',
  'HTTP/1.1 600 X',
  'HTTP/1.1 1000 X',
  'HTTP/1.1  X',
];

/** Lists faulty behaviour of a backend server, and what callers of both routes must receive. */
const faults: readonly {
  readonly title: string;
  readonly script: Script;
  readonly status: number;
  readonly outcome: string;
  readonly broken?: boolean;
}[] = [
  {
    title: 'resets the connection before the headers',
    script: (socket) => socket.resetAndDestroy(),
    status: 502,
    outcome: 'unknown',
  },
  {
    title: 'closes the connection without an answer',
    script: (socket) => socket.end(),
    status: 502,
    outcome: 'unknown',
  },
  {
    title: 'answers garbage',
    script: (socket) => socket.end('garbage\r\n\r\n'),
    status: 502,
    outcome: 'unknown',
  },
  {
    title: 'answers with oversized headers',
    script: (socket) => socket.end(encodeResponse('x', `x-big: ${'y'.repeat(64 * 1024)}\r\n`)),
    status: 502,
    outcome: 'unknown',
  },
  ...INVALID_STATUS_LINES.map((line) => ({
    title: `answers with the status line '${line}'`,
    script: (socket: Socket) => {
      socket.write(`${line}\r\ncontent-length: 2\r\n\r\nno`);
    },
    status: 502,
    outcome: 'unknown',
  })),
  {
    title: 'stalls before the headers',
    script: () => undefined,
    status: 504,
    outcome: 'unknown',
  },
  {
    title: 'resets the connection after the headers',
    script: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n', () => {
        setTimeout(() => socket.resetAndDestroy(), 50);
      });
    },
    status: 502,
    outcome: 'unknown',
  },
  {
    title: 'cuts a body of known length short',
    script: (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf'),
    status: 502,
    outcome: 'unknown',
  },
  {
    title: 'cuts a chunked body short',
    script: (socket) =>
      socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'),
    status: 200,
    outcome: '',
    broken: true,
  },
  {
    title: 'stalls in the middle of a body',
    script: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
    },
    status: 504,
    outcome: 'unknown',
  },
  {
    title: 'stalls in the middle of a chunked body',
    script: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n');
    },
    status: 200,
    outcome: '',
    broken: true,
  },
  {
    title: 'cuts a long body of known length short',
    script: (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\nhalf'),
    status: 200,
    outcome: '',
    broken: true,
  },
  {
    title: 'sends a body without end',
    script: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n');
      const timer = setInterval(() => socket.write('4\r\nmore\r\n'), 10);
      socket.once('close', () => clearInterval(timer));
    },
    status: 200,
    outcome: '',
    broken: true,
  },
  {
    title: 'sets the header lentillb-outcome: not-run itself',
    script: (socket) => {
      socket.write(encodeResponse('ran', 'lentillb-outcome: not-run\r\n'));
    },
    status: 200,
    outcome: '',
  },
];

describe('calls to one backend server', () => {
  describe.each(['GET', 'POST'] as const)('%s', (method) => {
    it.each(faults)(
      'should report the actual outcome if the backend server $title',
      async ({ script, status, outcome, broken = false }) => {
        const server = await announce(script);
        const answer = await call(method);
        expect([answer.status, answer.outcome, answer.broken]).toEqual([status, outcome, broken]);
        expect(server.requestLines).toHaveLength(1);
      },
    );

    it('should report not-run if the backend server refuses connections', async () => {
      announcePort(1, 'refusing');
      await waitFor(
        () => entryNode.services.fleetView.endpointsOf('pages').length === 1,
        'the entry node to know the backend server',
      );
      const answer = await call(method);
      expect([answer.status, answer.outcome, answer.reason]).toEqual([
        503,
        'not-run',
        'connect-failed',
      ]);
    });
  });

  it.each(INVALID_STATUS_LINES)(
    "should not pass on the status line '%s' from the host of the caller",
    async (line) => {
      const server = new ScriptedServer((socket) => {
        socket.write(`${line}\r\ncontent-length: 2\r\n\r\nno`);
      });
      servers.push(server);
      const port = await server.listen();
      const { backendServerRegistry } = entryNode.services;
      const own = { id: 'own', service: 'pages', address: '127.0.0.1', port, slots: 2 };
      backendServerRegistry.announce({ ...own, state: 'ready' });
      await waitFor(
        () => entryNode.services.fleetView.endpointsOf('pages').length === 1,
        'the entry node to know the backend server',
      );
      const answers = [await call('GET'), await call('POST')];
      backendServerRegistry.remove('own', 'test is over');
      expect(answers.map(({ outcome, status }) => [status, outcome])).toEqual([
        [502, 'unknown'],
        [502, 'unknown'],
      ]);
    },
  );

  it('should never deliver a late answer to another request', async () => {
    await announce((socket, count) => {
      setTimeout(
        () => socket.write(encodeResponse(`answer ${count}`)),
        count === 1 ? DEADLINE_MS + 150 : 0,
      );
    });
    const late = await call('GET');
    const next = await call('GET');
    await delay(300);
    const last = await call('GET');
    expect([late.status, late.outcome]).toEqual([504, 'unknown']);
    expect([next.text, last.text]).toEqual(['answer 2', 'answer 3']);
  });

  it('should never deliver an unsolicited second answer to another request', async () => {
    await announce((socket, count) => {
      socket.write(encodeResponse(`answer ${count}`) + encodeResponse('nobody asked'));
    });
    const answers = [];
    for (let index = 0; index < 5; index += 1) {
      answers.push(await call('GET'));
    }
    expect(answers.some(({ text }) => text === 'nobody asked')).toBe(false);
    expect(answers[0]?.text).toBe('answer 1');
  });

  it('should deliver a complete answer to a slow reader', async () => {
    const size = 4 * 1024 * 1024;
    await announce((socket) => {
      socket.write(encodeResponse('z'.repeat(size)));
    });
    const { body } = await request(`${entryNode.callUrl}/pages`);
    let bytes = 0;
    for await (const chunk of body) {
      bytes += (chunk as Buffer).length;
      await delay(1);
    }
    expect(bytes).toBe(size);
  });

  it('should forward the remaining deadline, the attempt number and the request id', async () => {
    const server = await announce((socket) => {
      socket.write(encodeResponse('ok'));
    });
    const { headers } = await request(`${entryNode.callUrl}/pages`, {
      headers: { 'x-request-id': 'r-1', 'lentillb-deadline-ms': '100', 'lentillb-service': 'x' },
    });
    expect(headers['x-request-id']).toBe('r-1');
    expect(headers['lentillb-version']).toBe('1');
    const [head = ''] = server.requestHeads;
    expect(Number(/lentillb-deadline-ms: (\d+)/.exec(head)?.[1])).toBeLessThanOrEqual(100);
    expect(head).toContain('lentillb-attempt: 1');
    expect(head).toContain('x-request-id: r-1');
    expect(head).not.toContain('lentillb-service');
  });

  it('should never run more calls at once than the backend server has slots', async () => {
    let inFlight = 0;
    let maxInFlight = 0;
    await announce((socket) => {
      inFlight += 1;
      maxInFlight = Math.max(maxInFlight, inFlight);
      setTimeout(() => {
        inFlight -= 1;
        socket.write(encodeResponse('ok'));
      }, 50);
    });
    const answers = await Promise.all(Array.from({ length: 12 }, () => call('POST')));
    const served = answers.filter(({ status }) => status === 200).length;
    const refused = answers.filter(({ outcome }) => outcome === 'not-run').length;
    expect(maxInFlight).toBe(2);
    expect(served).toBeGreaterThanOrEqual(2);
    expect(served + refused).toBe(12);
  });

  it('should close the connection to the backend server if the caller disconnects', async () => {
    let closed = false;
    await announce((socket) => {
      socket.once('close', () => {
        closed = true;
      });
    });
    const abortController = new AbortController();
    const pending = request(`${entryNode.callUrl}/pages`, { signal: abortController.signal });
    pending.catch(() => undefined);
    await delay(100);
    abortController.abort();
    await waitFor(() => closed, 'the connection to the backend server to close');
  });
});

describe('calls to two backend servers', () => {
  const good: Script = (socket) => {
    socket.write(encodeResponse('good'));
  };

  it('should answer every repeatable call while one backend server resets connections', async () => {
    const bad = await announce((socket) => socket.resetAndDestroy(), 'bad');
    await announce(good, 'good');
    const answers = [];
    for (let index = 0; index < 20; index += 1) {
      answers.push(await call('GET'));
    }
    expect(answers.map(({ text }) => text)).toEqual(new Array(20).fill('good'));
    expect(bad.requestLines.length).toBeGreaterThan(0);
    const kinds = entryNode.services.timeline.eventsAfter(0).map(({ kind }) => kind);
    expect(kinds).toContain(EventKind.BackendServerEjected);
  });

  it('should never resend a call that may have run on a route that must not repeat', async () => {
    const bad = await announce((socket) => socket.resetAndDestroy(), 'bad');
    const other = await announce(good, 'good');
    const answers = [];
    for (let index = 0; index < 20; index += 1) {
      answers.push(await call('POST'));
    }
    const unknown = answers.filter(({ outcome }) => outcome === 'unknown').length;
    expect(unknown).toBe(bad.requestLines.length);
    expect(bad.requestLines.length + other.requestLines.length).toBe(20);
  });

  it('should send a call that was certainly not run to the other backend server', async () => {
    announcePort(1, 'refusing');
    const other = await announce(good, 'good');
    const answers = [];
    for (let index = 0; index < 20; index += 1) {
      answers.push(await call('POST'));
    }
    expect(answers.map(({ status }) => status)).toEqual(new Array(20).fill(200));
    expect(other.requestLines).toHaveLength(20);
  });

  it('should send no new calls to a draining backend server and let it finish those in flight', async () => {
    let finish: (() => void) | undefined;
    const draining = await announce((socket) => {
      finish = () => socket.write(encodeResponse('finished'));
    }, 'leaving');
    const pending = call('GET');
    await waitFor(() => draining.requestLines.length === 1, 'a call in flight');
    const { backendServerRegistry } = serverNode.services;
    const [announced] = backendServerRegistry.all();
    backendServerRegistry.announce({ ...announced!, state: 'draining' });
    const other = await announce(good, 'good');
    const answers = await Promise.all(Array.from({ length: 2 }, () => call('POST')));
    finish?.();
    expect(answers.map(({ text }) => text)).toEqual(['good', 'good']);
    expect((await pending).text).toBe('finished');
    expect([draining.requestLines.length, other.requestLines.length]).toEqual([1, 2]);
  });
});

describe('calls that reach no backend server', () => {
  it.each([
    ['GET', '/nowhere', 404, 'no-route'],
    ['DELETE', '/pages', 404, 'no-route'],
    ['GET', '/none', 503, 'no-backend-server'],
  ] as const)('should report not-run for %s %s', async (method, path, status, reason) => {
    const { statusCode, headers, body } = await request(`${entryNode.callUrl}${path}`, { method });
    await body.dump();
    expect([statusCode, headers['lentillb-outcome'], headers['lentillb-reason']]).toEqual([
      status,
      'not-run',
      reason,
    ]);
  });

  it.each([
    ['two lengths', 'content-length: 4\r\ncontent-length: 5\r\n\r\nonce'],
    ['a length and chunks', 'content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'],
    ['an unknown encoding', 'transfer-encoding: xchunked\r\n\r\n0\r\n\r\n'],
    ['a header without colon', 'content-length 4\r\n\r\nonce'],
    ['oversized headers', `x-big: ${'y'.repeat(32 * 1024)}\r\n\r\n`],
  ])('should refuse a request with %s', async (_, rest) => {
    const server = await announce((socket) => {
      socket.write(encodeResponse('ran'));
    });
    const socket = connect(entryNode.ports.callPort, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.write(`POST /pages HTTP/1.1\r\nhost: x\r\n${rest}`);
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
    await new Promise<void>((resolve) => {
      socket.once('close', () => resolve());
      setTimeout(() => socket.destroy(), 1_000);
    });
    expect(received).toMatch(/^HTTP\/1\.1 4\d\d/);
    expect(server.requestLines).toEqual([]);
  });

  it('should not run a request whose body is incomplete', async () => {
    const server = await announce((socket) => {
      socket.write(encodeResponse('ran'));
    });
    const socket = connect(entryNode.ports.callPort, '127.0.0.1');
    socket.write('POST /pages HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nhalf');
    await delay(50);
    socket.destroy();
    await delay(100);
    expect(server.requestLines).toEqual([]);
  });

  it('should deliver the final answer after interim responses', async () => {
    await announce((socket) => {
      socket.write(`HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n${encodeResponse('ran')}`);
    });
    expect(await call('GET', '/pages/hinted')).toMatchObject({ status: 200, text: 'ran' });
  });

  it('should not forward a call whose caller disconnected before the call was read', async () => {
    const server = await announce((socket) => {
      socket.write(encodeResponse('ran'));
    });
    const caller = await RawConnection.open(`127.0.0.1:${entryNode.ports.callPort}`);
    caller.write({ target: '/pages/first', headers: { host: 'x' } });
    await waitFor(() => caller.receivedText.includes('ran'), 'the first answer');
    caller.write({ target: '/pages/left', headers: { host: 'x' } });
    caller.close();
    await delay(200);
    expect(server.requestLines).toEqual(['GET /pages/first HTTP/1.1']);
  });
});
