import { forwardedHeaders } from 'lentillb/calls/callHeaders.js';
import { describe, expect, it } from 'vitest';

describe('forwarded headers', () => {
  it('should lack hop-by-hop headers and those that the connection header names', () => {
    const headers = {
      host: 'a.example',
      connection: 'keep-alive, X-Hop',
      'keep-alive': 'timeout=5',
      'x-hop': '1',
      'x-attempt-id': 'r-1',
    };
    expect(forwardedHeaders(headers)).toEqual({ host: 'a.example', 'x-attempt-id': 'r-1' });
  });

  it('should lack the omitted header and leave the received ones unchanged', () => {
    const headers = { host: 'a.example', 'x-deadline-ms': '300', 'set-cookie': ['a=1', 'b=2'] };
    const received = structuredClone(headers);
    expect(forwardedHeaders(headers, 'x-deadline-ms')).toEqual({
      host: 'a.example',
      'set-cookie': ['a=1', 'b=2'],
    });
    expect(headers).toEqual(received);
  });
});
