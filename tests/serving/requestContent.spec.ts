import { hashContent } from 'lentillb/serving/requestContent.js';
import { describe, expect, it } from 'vitest';

const REQUEST = {
  method: 'POST',
  target: '/letters/7?page=2',
  headers: { host: 'a.example', 'x-attempt-id': 'r-1', 'x-caller-service': 'pages' },
  body: Buffer.from('dear editor'),
};

describe('content of a request', () => {
  it('should be the same for another attempt, at whichever host it arrives', () => {
    const headers = { ...REQUEST.headers, 'x-attempt-id': 'r-2', 'x-caller-service': 'letters' };
    expect(hashContent({ ...REQUEST, headers })).toBe(hashContent(REQUEST));
  });

  it.each([
    ['method', { method: 'PUT' }],
    ['path', { target: '/letters/8?page=2' }],
    ['query', { target: '/letters/7?page=3' }],
    ['body', { body: Buffer.from('dear reader') }],
    ['host', { headers: { host: 'b.example' } }],
    ['caller', { headers: { host: 'a.example', authorization: 'Bearer k1' } }],
    ['customer', { customer: 'acme' }],
  ])('should differ by %s', (_, fields) => {
    expect(hashContent({ ...REQUEST, ...fields })).not.toBe(hashContent(REQUEST));
  });
});
