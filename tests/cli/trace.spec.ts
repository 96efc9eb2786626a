import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { ExitCode, runProgram } from '@lentillb/cli';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { RecordingConsole } from '../support/recordingConsole.js';

let folder: string;

function createLine(host: string, second: number, fields: object): string {
  const time = new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
  return JSON.stringify({ name: 'lentillb', level: 40, host, zone: 'a', time, ...fields });
}

async function writeLogFile(name: string, lines: readonly string[]): Promise<string> {
  const file = path.join(folder, name);
  await writeFile(file, lines.join('\n'));
  return file;
}

async function trace(...args: readonly string[]): Promise<RecordingConsole & { code: ExitCode }> {
  const console = new RecordingConsole();
  const code = await runProgram(['trace', ...args], console);
  return Object.assign(console, { code });
}

beforeAll(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-trace-'));
});

afterAll(async () => {
  await rm(folder, { recursive: true });
});

describe('lentillb trace', () => {
  const refusal = { requestId: 'r1', cause: 'no-slot-in-time', elapsedMs: 9, retryAfterMs: 60 };

  it('should merge the lines of all nodes about a request and print its outcome', async () => {
    const entry = await writeLogFile('entry.log', [
      createLine('10.0.0.1', 1, { event: 'configuration', version: 4 }),
      createLine('10.0.0.1', 7, { event: 'request-answered', requestId: 'r2', status: 200 }),
      createLine('10.0.0.1', 9, { event: 'request-refused', ...refusal }),
    ]);
    const gate = await writeLogFile('gate.log', [
      createLine('10.0.0.2', 8, { event: 'gate-gave-no-answer', requestId: 'r1', waitMs: 70 }),
    ]);
    const traced = await trace('r1', entry, gate);
    expect(traced.code).toBe(ExitCode.Ok);
    expect(traced.printed).toHaveLength(3);
    expect(traced.printed[0]).toContain('a/10.0.0.2  gate-gave-no-answer  waitMs=70');
    expect(traced.printed[1]).toContain('a/10.0.0.1  request-refused  cause=no-slot-in-time');
    expect(traced.printed[2]).toBe(
      '10.0.0.1: refused after 9 ms, it did not run: no-slot-in-time; ' +
        'the caller was asked to return in 60 ms',
    );
  });

  it('should include lines about no request within the time given by --context', async () => {
    const file = await writeLogFile('context.log', [
      createLine('10.0.0.1', 1, { event: 'configuration', version: 4 }),
      createLine('10.0.0.1', 8, { event: 'host-silent', of: '10.0.0.2' }),
      createLine('10.0.0.1', 9, { event: 'request-refused', ...refusal }),
      createLine('10.0.0.1', 9, { event: 'request-answered', requestId: 'r2', status: 200 }),
    ]);
    const traced = await trace('r1', '--context', '2000', file);
    expect(traced.printed.map((text) => text.split('  ')[2])).toEqual([
      'host-silent',
      'request-refused',
      undefined,
    ]);
  });

  it('should tell which version had no route, and which newer one the node had heard of', async () => {
    const missing = { requestId: 'r1', cause: 'no-route', configurationVersion: 4, inForceMs: 900 };
    const heard = { newerVersion: 6, heardFrom: '10.0.0.2:7600', heardMs: 310 };
    const file = await writeLogFile('no-route.log', [
      createLine('10.0.0.1', 1, { event: 'request-failed', ...missing }),
      createLine('10.0.0.1', 2, { event: 'request-failed', ...missing, ...heard }),
    ]);
    const traced = await trace('r1', file);
    expect(traced.printed.slice(-2)).toEqual([
      '10.0.0.1: refused: no route of version 4 matches the request; it was in force for 900 ms, ' +
        'no newer version was known',
      '10.0.0.1: refused: no route of version 4 matches the request; it was in force for 900 ms, ' +
        'version 6 was known from 10.0.0.2:7600 for 310 ms',
    ]);
  });

  it('should keep the order of a file whose host set its clock back', async () => {
    const file = await writeLogFile('clock.log', [
      createLine('10.0.0.1', 50, { event: 'first', requestId: 'r1' }),
      createLine('10.0.0.1', 2, { event: 'second', requestId: 'r1' }),
    ]);
    const other = await writeLogFile('other.log', [
      createLine('10.0.0.2', 3, { event: 'elsewhere', requestId: 'r1' }),
    ]);
    const traced = await trace('r1', '--json', file, other);
    const { lines } = traced.json as { lines: { event: string }[] };
    expect(lines.map(({ event }) => event)).toEqual(['elsewhere', 'first', 'second']);
  });

  it('should parse lines after the prefix of a log collector and count those that it skips', async () => {
    const text = createLine('10.0.0.1', 9, { event: 'request-refused', ...refusal });
    const file = await writeLogFile('prefix.log', [
      `[12.5 host-1] ${text}`,
      'plain text',
      '{"cut":',
    ]);
    const traced = await trace('r1', file);
    expect(traced.code).toBe(ExitCode.Ok);
    expect(traced.noted).toEqual([`${file}: skipped 2 lines that are not decision log entries`]);
  });

  it('should exit 1 if no line is about the request', async () => {
    const file = await writeLogFile('none.log', [createLine('10.0.0.1', 1, { event: 'started' })]);
    const traced = await trace('r9', file);
    expect(traced.code).toBe(ExitCode.Refused);
    expect(traced.noted[0]).toContain('no line about r9');
  });

  it('should name a file that cannot be read and exit 2', async () => {
    const traced = await trace('r1', path.join(folder, 'missing.log'));
    expect(traced.code).toBe(ExitCode.Usage);
    expect(traced.noted[0]).toContain('missing.log');
  });
});
