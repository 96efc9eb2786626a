import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { execFile, spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request as openRequest } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { ExitCode, runProgram } from '@lentillb/cli';
import { KeyedLogServer, respondSuccessfully, ScriptedBackendServer } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../support/freeAddress.js';
import { RecordingConsole } from '../support/recordingConsole.js';

interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

interface Call {
  readonly method: string;
  readonly target: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

const clock = new SystemClock();
const CONDITION_TIMEOUT_MS = 10_000;

let folder: string;
let program: string;
let store: KeyedLogServer;
let backendServer: ScriptedBackendServer;
let child: ChildProcess;
let output: string;
let ports: { inbound: string; outbound: string; ready: string; control: string; peer: string };

function send(address: string, { body, headers = {}, method, target }: Call): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const outgoing = openRequest({
      agent: false,
      ...parseAddress(address),
      method,
      path: target,
      headers,
    });
    outgoing.on('error', reject);
    outgoing.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    outgoing.end(body);
  });
}

async function until(condition: () => Promise<boolean>): Promise<void> {
  const endMs = clock.monotonicMs() + CONDITION_TIMEOUT_MS;
  while (!(await condition().catch(() => false))) {
    if (clock.monotonicMs() > endMs) {
      throw new Error(
        `condition not met after ${CONDITION_TIMEOUT_MS} ms; output of the program: ${output}`,
      );
    }
    await clock.sleep(20);
  }
}

function linesOf(requestId: string): Readonly<Record<string, unknown>>[] {
  return output
    .split('\n')
    .filter((line) => line.includes(`"${requestId}"`))
    .map((line) => JSON.parse(line) as Record<string, unknown>);
}

function requestWith(requestId: string, host = 'letters.example'): Call {
  const headers = { host, 'x-attempt-id': requestId, 'x-deadline-ms': '600' };
  return { method: 'POST', target: '/a/b', headers, body: 'dear editor' };
}

function heartbeat(fields: object = {}): Call {
  const body = {
    service: 'postbag',
    address: backendServer.address,
    zone: 'a',
    version: 'v1',
    capacity: 2,
    state: 'ready',
    'warmup-left': '0ms',
    sequence: 1,
    born: 1_000,
    ...fields,
  };
  return { method: 'PUT', target: `/instances/${backendServer.id}`, body: JSON.stringify(body) };
}

beforeAll(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-'));
  program = path.join(folder, 'lentillb.cjs');
  await promisify(execFile)(process.execPath, ['deploy/build.js', program]);
});

afterAll(() => rm(folder, { recursive: true }));

beforeEach(async () => {
  store = new KeyedLogServer();
  await store.listen();
  const route = {
    hostname: 'letters.example',
    'path-prefix': '/',
    'route-type': 'non_idempotent',
    timeout: '600ms',
    'target-latency': '250ms',
    priority: 1,
    service: 'postbag',
    'max-attempts': 2,
  };
  const limits = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 1_000,
    'header-timeout': '3s',
    'idle-timeout': '15s',
  };
  const services = { postbag: {} };
  const configuration = { version: '00000002', routes: { lodge: route }, services, limits };
  store.write('keyed.op', 'config', JSON.stringify(configuration));
  backendServer = new ScriptedBackendServer('i-1');
  await backendServer.listen();
  const [inbound, outbound, ready, control, peer] = await Promise.all(
    Array.from({ length: 5 }, freeAddress),
  );
  ports = { inbound, outbound, ready, control, peer } as typeof ports;
  const settings = {
    self: { ip: '127.0.0.1', zone: 'a', service: 'postbag', 'app-addr': backendServer.address },
    network: {
      'listen-addrs': {
        inbound: ports.inbound,
        outbound: ports.outbound,
        ready: ports.ready,
        'control-plane': ports.control,
      },
      'port-range': [Number(ports.peer.split(':')[1]), 0],
    },
    platform: { platform: { address: store.address } },
    terms: {
      bounds: {
        grace: '6s',
        'retry-budget-ratio': 0.2,
        'budget-window': '10s',
        'retry-budget-extra': 62,
      },
    },
  };
  const file = path.join(folder, 'node.json');
  await writeFile(file, JSON.stringify(settings));
  output = '';
  child = spawn(process.execPath, [program], {
    env: { ...process.env, LENTILLB_SETTINGS: file },
  });
  child.stdout?.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  child.stderr?.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  await until(
    async () => (await send(ports.ready, { method: 'GET', target: '/readiness' })).status === 200,
  );
});

afterEach(async () => {
  child.kill('SIGKILL');
  await store.close();
  await backendServer.close();
});

describe('program on the platform', () => {
  it('should serve requests, and explain a refusal and an unknown outcome by request id', async () => {
    // No backend server has sent a heartbeat yet.
    const refused = await send(ports.outbound, requestWith('aaaa'));
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
    expect((await send(ports.control, heartbeat())).status).toBe(200);
    const served = await send(ports.outbound, requestWith('bbbb'));
    expect(served.body).toBe('ran dear editor');
    backendServer.setHandler((response) => response.socket?.resetAndDestroy());
    expect((await send(ports.outbound, requestWith('cccc'))).status).toBe(502);
    await until(() => Promise.resolve(linesOf('cccc').length === 3));
    expect(linesOf('aaaa')[0]).toMatchObject({
      event: 'request-refused',
      cause: 'no-backend-server',
      sent: 0,
      hosts: 0,
      silentHosts: 0,
    });
    expect(linesOf('bbbb')[0]).toMatchObject({ event: 'request-answered', status: 200 });
    const events = linesOf('cccc').map(({ cause, event }) => `${String(event)} ${String(cause)}`);
    expect(events.sort()).toEqual([
      'gate-gave-no-answer connection-lost',
      'request-failed connection-lost',
      'run-interrupted undefined',
    ]);
    const interrupted = linesOf('cccc').find(({ event }) => event === 'run-interrupted');
    expect(interrupted).toMatchObject({ ended: false, id: 'i-1' });
    const metrics = await send(ports.peer, { method: 'GET', target: '/metrics' });
    expect(metrics.body).toContain('gate_failures{cause="connection-lost",outcome="unknown"} 1');
    const file = path.join(folder, 'host.log');
    await writeFile(file, output);
    const console = new RecordingConsole();
    expect(await runProgram(['trace', 'cccc', file], console)).toBe(ExitCode.Ok);
    expect(console.printed.at(-1)).toContain('it may have run: connection-lost');
  });

  it.each(['/instances/%', '/instances/%ff%', `/instances/${'i'.repeat(300)}`])(
    'should reject a heartbeat for the malformed identity %s and keep running',
    async (target) => {
      await send(ports.control, heartbeat());
      expect((await send(ports.control, { ...heartbeat(), target })).status).toBe(400);
      expect((await send(ports.ready, { method: 'GET', target: '/readiness' })).status).toBe(200);
    },
  );

  it('should reject an invalid heartbeat and keep the current state', async () => {
    await send(ports.control, heartbeat());
    expect((await send(ports.control, heartbeat({ capacity: 'ten' }))).status).toBe(400);
    expect((await send(ports.outbound, requestWith('dddd'))).status).toBe(200);
    await until(() => Promise.resolve(output.includes('"event":"input-rejected"')));
  });

  it('should answer 404 only where no route matches', async () => {
    await send(ports.control, heartbeat());
    expect((await send(ports.outbound, requestWith('eeee', 'other.example'))).status).toBe(404);
  });

  it('should send no requests to a backend server after confirming its departure', async () => {
    await send(ports.control, heartbeat());
    const left = await send(ports.control, {
      method: 'DELETE',
      target: `/instances/${backendServer.id}`,
    });
    expect(left.status).toBe(200);
    await send(ports.control, heartbeat({ sequence: 2 }));
    expect((await send(ports.outbound, requestWith('ffff'))).status).toBe(503);
    expect(backendServer.runs).toEqual([]);
  });

  it('should complete its planned stop when it is told to stop more than once', async () => {
    await send(ports.control, heartbeat());
    backendServer.setHandler((response, run) => {
      setTimeout(() => respondSuccessfully(response, run), 400);
    });
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    const running = send(ports.outbound, requestWith('gggg'));
    await until(() => Promise.resolve(backendServer.runs.length === 1));
    child.kill('SIGTERM');
    child.kill('SIGHUP');
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    child.kill('SIGTERM');
    expect((await running).status).toBe(200);
    expect(await exited).toBe(0);
  });

  it('should exit by itself after a planned stop', async () => {
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGTERM');
    await until(
      async () => (await send(ports.ready, { method: 'GET', target: '/readiness' })).status === 503,
    );
    expect(await exited).toBe(0);
  });
});
