import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { DevFleet, ExitCode, runProgram } from '@lentillb/cli';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { RecordingConsole } from '../support/recordingConsole.js';
import { PAGES_RULES } from '../support/ruleFiles.js';

let fleet: DevFleet;
let folder: string;
let admin: string;

interface Run {
  readonly code: ExitCode;
  readonly console: RecordingConsole;
}

async function lentillb(...args: readonly string[]): Promise<Run> {
  const console = new RecordingConsole();
  const code = await runProgram(args, console);
  return { code, console };
}

function lentillbWithAdmin(...args: readonly string[]): Promise<Run> {
  return lentillb(...args, '--admin', admin);
}

async function writeRuleFile(name: string, text: string): Promise<string> {
  const file = path.join(folder, name);
  await writeFile(file, text);
  return file;
}

beforeAll(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-test-'));
  fleet = await DevFleet.start({
    zones: ['zone-a', 'zone-b'],
    nodesPerZone: 1,
    services: ['pages', 'orders'],
    logLevel: 'fatal',
  });
  admin = fleet.nodes[0]?.adminUrl ?? '';
});

afterAll(async () => {
  await fleet.stop();
  await rm(folder, { recursive: true });
});

describe('lentillb', () => {
  it('should publish, show, diff, explain and list, with JSON output if requested', async () => {
    const first = await writeRuleFile('first.rules', PAGES_RULES);
    const published = await lentillbWithAdmin('publish', first, '--author', 'salma', '--json');
    expect(published.code).toBe(ExitCode.Ok);
    expect(published.console.json).toMatchObject({ result: 'accepted', version: 1, behind: [] });

    const shown = await lentillbWithAdmin('show');
    const text = shown.console.printed.join('\n');
    expect(text).toBe(`# edited from version 1\n${PAGES_RULES.trimEnd()}`);

    const edited = await writeRuleFile(
      'edited.rules',
      `${text.replace('attempts 3', 'attempts 2')}\n`,
    );
    const compared = await lentillbWithAdmin('diff', edited);
    expect(compared.code).toBe(ExitCode.Refused);
    expect(compared.console.printed).toHaveLength(2);

    const second = await lentillbWithAdmin('publish', edited, '--author', 'aisha');
    expect(second.code).toBe(ExitCode.Ok);
    expect(second.console.printed).toEqual(['version 2 is in force on every node']);

    const conflict = await lentillbWithAdmin('publish', edited, '--author', 'hamad');
    expect(conflict.code).toBe(ExitCode.Refused);
    expect(conflict.console.noted.join('\n')).toContain('aisha at');

    const explained = await lentillbWithAdmin('explain', 'GET', '/pages/1', '--json');
    expect(explained.console.json).toMatchObject({
      version: 2,
      rules: [
        { kind: 'route', line: 3, requester: 'Test', version: 1, author: 'salma' },
        { kind: 'service' },
        { kind: 'retry', version: 2, author: 'aisha' },
      ],
      services: [{ service: 'pages' }],
    });

    const listed = await lentillbWithAdmin('history', '--json');
    const { judgements } = listed.console.json as { judgements: { verdict: string }[] };
    expect(judgements.map(({ verdict }) => verdict)).toEqual(['accepted', 'accepted']);

    const status = await lentillbWithAdmin('status', '--json');
    expect(status.console.json).toMatchObject({ version: 2, hosts: 2, zone: 'zone-a' });

    const events = await lentillbWithAdmin('timeline', '--json');
    const merged = events.console.json as { events: { kind: string }[]; silent: string[] };
    const applied = merged.events.filter(({ kind }) => kind === 'version-applied');
    expect([applied.length, merged.silent]).toEqual([4, []]);
  });

  it('should print plain lines without --json', async () => {
    for (const command of [['status'], ['history'], ['timeline'], ['explain', 'GET', '/pages/1']]) {
      const { code, console } = await lentillbWithAdmin(...command);
      expect(code).toBe(ExitCode.Ok);
      expect(console.printed.length).toBeGreaterThan(0);
    }
  });

  it('should exit 1 if no route matches a request', async () => {
    const { code, console } = await lentillbWithAdmin('explain', 'GET', '/nowhere');
    expect(code).toBe(ExitCode.Refused);
    expect(console.printed.join('\n')).toContain('no route for GET /nowhere');
  });

  it('should print nothing for a valid file and the errors of an invalid one', async () => {
    const good = await lentillb('check', 'examples/muscat.rules');
    expect([good.code, good.console.printed, good.console.noted]).toEqual([ExitCode.Ok, [], []]);
    const bad = await lentillb('check', 'examples/bad/unknown-service.rules');
    expect(bad.code).toBe(ExitCode.Refused);
    expect(bad.console.printed[0]).toMatch(/^examples\/bad\/unknown-service\.rules:2:1: /);
  });

  it('should report line numbers of the file, with the line that names its base version', async () => {
    const file = await writeRuleFile(
      'marked.rules',
      '# edited from version 3\nrout GET / # A: b\n',
    );
    const { console } = await lentillb('check', file);
    expect(console.printed[0]).toBe(
      `${file}:2:1: unknown word "rout"; start the rule with service, route, group, limit, retry, split, zone`,
    );
  });

  it.each([
    ['an unknown command', ['frobnicate'], 'unknown command'],
    ['a missing argument', ['check'], "missing required argument 'file'"],
    ['a wrong URL', ['status', '--admin', 'nonsense'], '--admin (or LENTILLB_ADMIN)'],
    ['a wrong time', ['status', '--timeout', 'soon'], '--timeout (or LENTILLB_TIMEOUT)'],
    ['no author', ['publish', 'examples/riga.rules'], '--author (or LENTILLB_AUTHOR)'],
    ['a file that is not there', ['check', 'missing.rules'], 'read missing.rules'],
    ['no host', ['node'], '--host (or LENTILLB_HOST) is required'],
    ['a wrong port', ['node', '--call-port', '99999'], '--call-port (or LENTILLB_CALL_PORT)'],
    ['a wrong log URL', ['node', '--log-url', 'ftp://x'], '--log-url (or LENTILLB_LOG_URL)'],
    ['wrong peers', ['node', '--peers', 'here'], '--peers (or LENTILLB_PEERS)'],
  ])('should exit 2 for %s and name the cause', async (_, args, message) => {
    const { code, console } = await lentillb(...args);
    expect(code).toBe(ExitCode.Usage);
    expect(console.noted.join('\n')).toContain(message);
  });

  it('should exit 4 if no node can be reached', async () => {
    const { code, console } = await lentillb('status', '--admin', 'http://127.0.0.1:1');
    expect(code).toBe(ExitCode.Unreachable);
    expect(console.noted.join('\n')).toContain('check --admin');
  });

  it('should exit 3 if the outcome of a publication is unknown', async () => {
    const args = [
      'publish',
      'examples/riga.rules',
      '--author',
      'x',
      '--admin',
      'http://127.0.0.1:1',
    ];
    expect((await lentillb(...args)).code).toBe(ExitCode.Unknown);
  });

  it('should show every form of a rule in its help', async () => {
    const { code, console } = await lentillb('--help');
    expect(code).toBe(ExitCode.Ok);
    expect(console.printed.join('\n')).toContain('zone NAME local|any spill PERCENT');
  });
});
