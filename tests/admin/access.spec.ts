import { MemoryLog } from '@lentillb/standins';
import type { RunningNode } from '@lentillb/node';
import { AdminClient } from '@lentillb/cli';
import { readSettings, SystemClock } from 'lentillb';
import type { PublishOutcome } from 'lentillb';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { PAGES_RULES } from '../support/ruleFiles.js';
import { startTestNode } from '../support/testNode.js';

const OPS_TOKEN = 'ops-token-0123456789';
const DESK_TOKEN = 'desk-token-0123456789';
const TOKENS = `ops:${OPS_TOKEN}:*,desk:${DESK_TOKEN}:pages`;
const TIMEOUT_MS = 5_000;

let node: RunningNode;

async function publish(token: string, base: number, text: string): Promise<PublishOutcome> {
  const client = new AdminClient(node.adminUrl, TIMEOUT_MS, token);
  const publishId = `${token}-${base}-${text.length}`;
  const publication = { publishId, base, author: 'salma', text, timeoutMs: TIMEOUT_MS };
  return (await client.publish(publication)).unwrap();
}

beforeAll(async () => {
  const clock = new SystemClock();
  const log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 100 });
  node = await startTestNode({ tokens: TOKENS }, { replacements: { log } });
  await node.waitUntilReady();
});

afterAll(async () => {
  await node.stop();
});

describe('access to the administration API', () => {
  it.each([
    ['no token', undefined],
    ['an unknown token', 'Bearer wrong-token-0123456789'],
    ['a part of a token', `Bearer ${OPS_TOKEN.slice(0, -1)}`],
    ['another scheme', `Basic ${OPS_TOKEN}`],
  ])('should reject a request with %s, and change nothing', async (_, authorization) => {
    const headers = authorization === undefined ? {} : { authorization };
    for (const [method, path] of [
      ['GET', '/v1/configuration'],
      ['POST', '/v1/publish'],
    ] as const) {
      const body = method === 'POST' ? '{}' : undefined;
      const response = await request(`${node.adminUrl}${path}`, { method, headers, body });
      await response.body.dump();
      expect(response.statusCode).toBe(401);
    }
    expect(node.services.versionStore.through).toBe(0);
  });

  it('should return the health status without a token', async () => {
    const { statusCode, body } = await request(`${node.adminUrl}/v1/health`);
    await body.dump();
    expect([200, 503]).toContain(statusCode);
  });

  it('should let a team change only the rules of its own services, and name the service or scope it may not change', async () => {
    expect(await publish(OPS_TOKEN, 0, PAGES_RULES)).toMatchObject({
      result: 'accepted',
      version: 1,
    });
    const own = PAGES_RULES.replace('attempts 3', 'attempts 2');
    expect(await publish(DESK_TOKEN, 1, own)).toMatchObject({ result: 'accepted', version: 2 });
    const other = own.replace('to orders within 2s', 'to orders within 3s');
    const refused = await publish(DESK_TOKEN, 2, other);
    expect(refused.result).toBe('refused');
    expect(refused.reason).toContain('team "desk" may not change rules of "orders"');
    const group = `${own}group bots header x-bot yes # Test: all callers\n`;
    expect((await publish(DESK_TOKEN, 2, group)).reason).toContain('callers of all services');
    expect(node.services.versionStore.state?.version).toBe(2);
  });

  it('should record the team with the author of every line', () => {
    const authors = node.services.versionStore.state?.lines.map(({ author }) => author);
    expect(new Set(authors)).toEqual(new Set(['salma (ops)', 'salma (desk)']));
  });

  it.each([
    ['a short token', 'ops:short:*'],
    ['no scope', `ops:${OPS_TOKEN}`],
    ['an invalid service name', `ops:${OPS_TOKEN}:Pages!`],
  ])('should reject settings with %s without printing the token', (_, tokens) => {
    const given = { host: 'h', zone: 'z', logUrl: 'http://127.0.0.1:9', tokens };
    const [fault] = readSettings(given, {}).unwrapErr();
    expect(fault?.message).toContain('--tokens (or LENTILLB_TOKENS) cannot be (not shown)');
    expect(fault?.message).not.toContain(tokens);
  });
});
