import { MemoryLog } from '@lentillb/standins';
import type { RunningNode } from '@lentillb/node';
import { SystemClock } from 'lentillb';
import type { OperationName } from 'lentillb/admin/adminSchemas.js';
import { responseSchemas, errorSchema } from 'lentillb/admin/adminSchemas.js';
import { operations } from 'lentillb/admin/openApi.js';
import { MAX_FILE_BYTES } from 'lentillb/rules/ruleFile.js';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { PAGES_RULES } from '../support/ruleFiles.js';
import { startTestNode } from '../support/testNode.js';

const PUBLICATION = { publishId: 'p1', base: 0, author: 'salma', text: PAGES_RULES };

let node: RunningNode;
let log: MemoryLog;

/** Checks that a response has a documented status and matches the schema for it. */
function checkAgainstDocument(method: string, path: string, status: number, body: unknown): void {
  const [pathname] = path.split('?');
  const found = Object.entries(operations).find(
    ([, operation]) => operation.path === pathname && operation.method === method.toLowerCase(),
  );
  if (found === undefined) {
    expect([200, 404, 405]).toContain(status);
    return;
  }
  const [name, { successStatuses, errorStatuses }] = found;
  expect([...successStatuses, ...errorStatuses]).toContain(status);
  const schema = successStatuses.includes(status)
    ? responseSchemas[name as OperationName]
    : errorSchema;
  const checked = schema.safeParse(body);
  expect(checked.error?.issues ?? []).toEqual([]);
}

async function send(
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
): Promise<{ status: number; body: Record<string, unknown> }> {
  const text = typeof body === 'string' || body === undefined ? body : JSON.stringify(body);
  const response = await request(`${node.adminUrl}${path}`, { method, body: text });
  const received = await response.body.text();
  const parsed = (received.startsWith('{') ? JSON.parse(received) : {}) as Record<string, unknown>;
  checkAgainstDocument(method, path, response.statusCode, parsed);
  return { status: response.statusCode, body: parsed };
}

beforeAll(async () => {
  log = new MemoryLog({
    clock: new SystemClock(),
    retentionMs: 3_600_000,
    appendsPerSecond: 100,
  });
  node = await startTestNode({}, { replacements: { log } });
  await node.waitUntilReady();
});

afterAll(async () => {
  await node.stop();
});

describe('administration API', () => {
  it.each([
    ['a body that is not JSON', 'nonsense', 'body is no JSON'],
    ['a missing text', { ...PUBLICATION, text: undefined }, 'text'],
    ['an empty author', { ...PUBLICATION, author: '' }, 'author'],
    ['a negative base', { ...PUBLICATION, base: -1 }, 'base'],
    ['an unknown field', { ...PUBLICATION, force: true }, 'force'],
    ['a body over the size limit', 'x'.repeat(2 * MAX_FILE_BYTES + 1), 'longer than'],
  ])('should reject %s and publish nothing', async (_, body, message) => {
    const response = await send('POST', '/v1/publish', body);
    expect(response.status).toBe(400);
    expect(String(response.body.error)).toContain(message);
    expect(node.services.versionStore.through).toBe(0);
  });

  it('should respond with 409 and the faults for rules that have faults', async () => {
    const text = 'rout GET / # A: b\n';
    const response = await send('POST', '/v1/publish', { ...PUBLICATION, text });
    expect(response).toMatchObject({
      status: 409,
      body: { result: 'refused', faults: [{ line: 1, column: 1 }] },
    });
  });

  it('should respond with 200 for an accepted version and 409 for a conflict', async () => {
    expect(await send('POST', '/v1/publish', PUBLICATION)).toMatchObject({
      status: 200,
      body: { result: 'accepted', version: 1 },
    });
    const again = { ...PUBLICATION, publishId: 'p2' };
    expect(await send('POST', '/v1/publish', again)).toMatchObject({
      status: 409,
      body: { result: 'refused' },
    });
  });

  it('should respond with 202 while the outcome is unknown, and with the outcome when published again', async () => {
    log.faults.loseAnswers = 1;
    const text = `${PAGES_RULES}# more\n`;
    const publication = { ...PUBLICATION, publishId: 'p3', base: 1, text, timeoutMs: 1 };
    const first = await send('POST', '/v1/publish', publication);
    const second = await send('POST', '/v1/publish', { ...publication, timeoutMs: 5_000 });
    expect([200, 202]).toContain(first.status);
    expect(second).toMatchObject({ status: 200, body: { result: 'accepted', version: 2 } });
  });

  it('should report its health, its version, its members and its backend servers', async () => {
    expect(await send('GET', '/v1/health')).toMatchObject({ status: 200, body: { ready: true } });
    expect((await send('GET', '/v1/configuration')).body).toMatchObject({ version: 2 });
    expect((await send('GET', '/v1/members')).body).toMatchObject({
      members: [{ host: 'host-1', zone: 'zone-a', state: 'live' }],
    });
    const { body } = await send('GET', '/v1/backend-servers');
    expect(body.services).toMatchObject([{ service: 'pages' }, { service: 'orders' }]);
  });

  it('should return documented responses for every operation', async () => {
    const gets = Object.values(operations).filter(({ method }) => method === 'get');
    for (const { path } of gets) {
      const query = path.endsWith('explain') ? '?method=GET&path=/pages/1' : '';
      expect((await send('GET', `${path}${query}`)).status).toBe(200);
    }
    const compared = await send('POST', '/v1/diff', { text: PAGES_RULES });
    expect(compared.body).toMatchObject({ version: 2, difference: ['- # more'] });
  });

  it('should serve an OpenAPI document with every operation and its status codes', async () => {
    const { body } = await send('GET', '/v1/openapi.json');
    expect(body.openapi).toBe('3.1.0');
    const paths = body.paths as Record<string, Record<string, { responses: object }>>;
    Object.values(operations).forEach(({ path, method, successStatuses, errorStatuses }) => {
      const statuses = [...successStatuses, ...errorStatuses].map(String).sort();
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
  ] as const)('should reject %s %s with %i', async (method, path, status) => {
    expect((await send(method, path)).status).toBe(status);
  });
});
