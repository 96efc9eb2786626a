import type { RunningNode } from '@lentillb/node';
import { EventKind } from 'lentillb';
import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { startTestNode, waitFor } from '../support/testNode.js';

const LEASE_MS = 600;
const VALID_ANNOUNCEMENT = { service: 'pages', port: 9, slots: 2, state: 'ready' };

let node: RunningNode;

async function sendRequest(
  method: 'GET' | 'PUT' | 'DELETE',
  id: string,
  body?: unknown,
): Promise<{ status: number; body: Record<string, unknown> }> {
  const url = `http://127.0.0.1:${node.ports.localPort}/v1/backend-servers/${id}`;
  const text = typeof body === 'string' || body === undefined ? body : JSON.stringify(body);
  const answer = await request(url, { method, body: text });
  return {
    status: answer.statusCode,
    body: (await answer.body.json().catch(() => ({}))) as Record<string, unknown>,
  };
}

function announcedIds(): readonly string[] {
  const own = node.services.fleet.get('host-1');
  return own?.backendServers.map(({ id }) => id) ?? [];
}

beforeAll(async () => {
  node = await startTestNode({ leaseMs: LEASE_MS });
});

afterAll(async () => {
  await node.stop();
});

describe('announcements of backend servers', () => {
  it('should register a backend server, return its lease and announce it to the fleet', async () => {
    const answer = await sendRequest('PUT', 'a', VALID_ANNOUNCEMENT);
    expect(answer).toMatchObject({
      status: 200,
      body: { id: 'a', leaseMs: LEASE_MS, inFlight: 0 },
    });
    await waitFor(() => announcedIds().includes('a'), 'the announcement to reach the fleet');
  });

  it('should remove a backend server that leaves', async () => {
    await sendRequest('PUT', 'b', VALID_ANNOUNCEMENT);
    expect((await sendRequest('DELETE', 'b')).status).toBe(200);
    expect((await sendRequest('GET', 'b')).status).toBe(404);
    await waitFor(() => !announcedIds().includes('b'), 'the removal to reach the fleet');
  });

  it('should remove a backend server whose lease is not renewed, and keep one that renews', async () => {
    await sendRequest('PUT', 'silent', VALID_ANNOUNCEMENT);
    const renewal = setInterval(() => sendRequest('PUT', 'loud', VALID_ANNOUNCEMENT), LEASE_MS / 4);
    await waitFor(
      async () => (await sendRequest('GET', 'silent')).status === 404,
      'the lease to expire',
    );
    clearInterval(renewal);
    expect((await sendRequest('GET', 'loud')).status).toBe(200);
    const gone = (): number =>
      node.services.timeline
        .eventsAfter(0)
        .filter((event) => event.kind === EventKind.BackendServerGone)
        .filter(({ backendServer }) => backendServer === 'silent').length;
    await waitFor(() => gone() === 1, 'the removal to be in the timeline');
  });

  it('should record no new event for a renewal with unchanged content', async () => {
    await sendRequest('PUT', 'same', VALID_ANNOUNCEMENT);
    await waitFor(() => announcedIds().includes('same'), 'the announcement to reach the fleet');
    const before = node.services.fleet.get('host-1')?.sequence;
    for (let count = 0; count < 5; count += 1) {
      await sendRequest('PUT', 'same', VALID_ANNOUNCEMENT);
    }
    const event = node.services.timeline.eventsAfter(0).filter((e) => e.backendServer === 'same');
    expect(event).toHaveLength(1);
    expect(before).toBeDefined();
  });

  it.each([
    ['a body that is not JSON', 'nonsense', 'body is no JSON'],
    [
      'a body that is too long',
      { ...VALID_ANNOUNCEMENT, service: 'x'.repeat(20_000) },
      'longer than',
    ],
    ['no service', { ...VALID_ANNOUNCEMENT, service: undefined }, 'service'],
    [
      'an invalid service name',
      { ...VALID_ANNOUNCEMENT, service: 'No Name' },
      'expected a service name',
    ],
    ['an invalid port', { ...VALID_ANNOUNCEMENT, port: 70_000 }, 'port'],
    ['no slots', { ...VALID_ANNOUNCEMENT, slots: 0 }, 'slots'],
    ['an unknown state', { ...VALID_ANNOUNCEMENT, state: 'asleep' }, 'state'],
    [
      'a host name instead of an IP address',
      { ...VALID_ANNOUNCEMENT, address: 'example.test' },
      'address',
    ],
    ['an unknown field', { ...VALID_ANNOUNCEMENT, weight: 3 }, 'weight'],
  ])('should reject an announcement with %s', async (_, body, message) => {
    const answer = await sendRequest('PUT', 'bad', body);
    expect(answer.status).toBe(400);
    expect(String(answer.body.error)).toContain(message);
    expect((await sendRequest('GET', 'bad')).status).toBe(404);
  });
});
