import { MemoryLog } from '@lentillb/standins';
import type { RunningNode } from '@lentillb/node';
import { SystemClock } from 'lentillb';
import type { OperationName } from 'lentillb/admin/adminSchemas.js';
import { answerSchemas, errorSchema } from 'lentillb/admin/adminSchemas.js';
import { operations } from 'lentillb/admin/openApi.js';
import { MAX_FILE_BYTES } from 'lentillb/rules/ruleFile.js';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { PAGES_RULES } from '../support/rules.js';
import { startTestNode } from '../support/testNode.js';

const PUBLICATION = { publishId: 'p1', base: 0, author: 'salma', text: PAGES_RULES };

let node: RunningNode;
let log: MemoryLog;

/** Every answer these tests get has to be as the document says. */
function checkAgainstDocument(method: string, path: string, status: number, body: unknown): void {
  const [bare] = path.split('?');
  const found = Object.entries(operations).find(
    ([, operation]) => operation.path === bare && operation.method === method.toLowerCase(),
  );
  if (found === undefined) {
    expect([200, 404, 405]).toContain(status);
    return;
  }
  const [name, { answers, refusals }] = found;
  expect([...answers, ...refusals]).toContain(status);
  const schema = answers.includes(status) ? answerSchemas[name as OperationName] : errorSchema;
  const checked = schema.safeParse(body);
  expect(checked.error?.issues ?? []).toEqual([]);
}

async function ask(
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<{ status: number; body: Record<string, unknown> }> {
  const text = typeof body === 'string' || body === undefined ? body : JSON.stringify(body);
  const answer = await request(`${node.adminUrl}${path}`, { method, body: text });
  const received = await answer.body.text();
  const parsed = (received.startsWith('{') ? JSON.parse(received) : {}) as Record<string, unknown>;
  checkAgainstDocument(method, path, answer.statusCode, parsed);
  return { status: answer.statusCode, body: parsed };
}

beforeAll(async () => {
  log = new MemoryLog({
    clock: new SystemClock(),
    retentionMs: 3_600_000,
    appendsPerSecond: 100,
  });
  node = await startTestNode({}, { replacements: { log } });
  await node.untilReady();
});

afterAll(async () => {
  await node.stop();
});

describe('administration API', () => {
  it.each([
    ['no JSON', 'nonsense', 'body is no JSON'],
    ['no text', { ...PUBLICATION, text: undefined }, 'text'],
    ['an empty author', { ...PUBLICATION, author: '' }, 'author'],
    ['a base below zero', { ...PUBLICATION, base: -1 }, 'base'],
    ['a field it does not know', { ...PUBLICATION, force: true }, 'force'],
    ['a body that is too long', 'x'.repeat(2 * MAX_FILE_BYTES + 1), 'longer than'],
  ])('should publish nothing for %s', async (_, body, message) => {
    const answer = await ask('POST', '/v1/publish', body);
    expect(answer.status).toBe(400);
    expect(String(answer.body.error)).toContain(message);
    expect(node.services.versionStore.through).toBe(0);
  });

  it('should answer 409 with every fault for rules that have some', async () => {
    const text = 'rout GET / # A: b\n';
    const answer = await ask('POST', '/v1/publish', { ...PUBLICATION, text });
    expect(answer).toMatchObject({
      status: 409,
      body: { result: 'refused', faults: [{ line: 1, column: 1 }] },
    });
  });

  it('should answer 200 for an accepted version, 409 for a conflict', async () => {
    expect(await ask('POST', '/v1/publish', PUBLICATION)).toMatchObject({
      status: 200,
      body: { result: 'accepted', version: 1 },
    });
    const again = { ...PUBLICATION, publishId: 'p2' };
    expect(await ask('POST', '/v1/publish', again)).toMatchObject({
      status: 409,
      body: { result: 'refused' },
    });
  });

  it('should answer 202 where the outcome is unknown, and the truth when asked again', async () => {
    log.faults.loseAnswers = 1;
    const text = `${PAGES_RULES}# more\n`;
    const publication = { ...PUBLICATION, publishId: 'p3', base: 1, text, timeoutMs: 1 };
    const first = await ask('POST', '/v1/publish', publication);
    const second = await ask('POST', '/v1/publish', { ...publication, timeoutMs: 5_000 });
    expect([200, 202]).toContain(first.status);
    expect(second).toMatchObject({ status: 200, body: { result: 'accepted', version: 2 } });
  });

  it('should say that it is healthy, what it holds and who is there', async () => {
    expect(await ask('GET', '/v1/health')).toMatchObject({ status: 200, body: { ready: true } });
    expect((await ask('GET', '/v1/configuration')).body).toMatchObject({ version: 2 });
    expect((await ask('GET', '/v1/members')).body).toMatchObject({
      members: [{ host: 'host-1', zone: 'zone-a', state: 'live' }],
    });
    const { body } = await ask('GET', '/v1/backend-servers');
    expect(body.services).toMatchObject([{ service: 'pages' }, { service: 'orders' }]);
  });

  it('should answer every operation as its document says', async () => {
    const gets = Object.values(operations).filter(({ method }) => method === 'get');
    for (const { path } of gets) {
      const query = path.endsWith('explain') ? '?method=GET&path=/pages/1' : '';
      expect((await ask('GET', `${path}${query}`)).status).toBe(200);
    }
    const compared = await ask('POST', '/v1/diff', { text: PAGES_RULES });
    expect(compared.body).toMatchObject({ version: 2, difference: ['- # more'] });
  });

  it('should serve a document that names every operation with its answers', async () => {
    const { body } = await ask('GET', '/v1/openapi.json');
    expect(body.openapi).toBe('3.1.0');
    const paths = body.paths as Record<string, Record<string, { responses: object }>>;
    Object.values(operations).forEach(({ path, method, answers, refusals }) => {
      const statuses = [...answers, ...refusals].map(String).sort();
      expect(Object.keys(paths[path]?.[method]?.responses ?? {}).sort()).toEqual(statuses);
    });
  });

  it.each([
    ['GET', '/v1/explain?method=GET', 400],
    ['GET', '/v1/explain?method=get&path=/pages', 400],
    ['GET', '/v1/timeline?after=later', 400],
    ['POST', '/v1/diff', 400],
    ['DELETE', '/v1/publish', 405],
    ['GET', '/v1/nothing', 404],
    ['GET', '/v2/status', 404],
  ] as const)('should refuse %s %s with %i', async (method, path, status) => {
    expect((await ask(method, path)).status).toBe(status);
  });
});
