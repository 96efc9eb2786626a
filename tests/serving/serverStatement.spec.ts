import { wireHeaders } from '@lentillb/platform';
import { readStatement } from 'lentillb/serving/serverStatement.js';
import { describe, expect, it } from 'vitest';

const NONE = { limitPerSecond: undefined, hasMalformedLimit: false, leaving: false };

describe('statement of a backend server', () => {
  it.each([
    ['no header', {}, NONE],
    ['a whole number', { 'server-limit': '40' }, { ...NONE, limitPerSecond: 40 }],
    ['a fraction', { 'server-limit': '0.25' }, { ...NONE, limitPerSecond: 0.25 }],
    ['zero', { 'server-limit': '0' }, { ...NONE, limitPerSecond: 0 }],
    ['a huge number', { 'server-limit': '9'.repeat(400) }, { ...NONE, limitPerSecond: Infinity }],
    ['two headers', { 'server-limit': '40.8, 12.5' }, { ...NONE, limitPerSecond: 12.5 }],
    ['a departure', { 'server-leaving': '1' }, { ...NONE, leaving: true }],
    ['no departure', { 'server-leaving': '0' }, NONE],
  ])('should read %s', (_, headers, expected) => {
    expect(readStatement(headers, wireHeaders)).toEqual(expected);
  });

  it.each(['', '-1', '1e3', 'NaN', '12 a second', '1.2.3', '0x10', '٤٠'])(
    'should report the limit "%s" as malformed',
    (value) => {
      const statement = readStatement({ 'server-limit': value }, wireHeaders);
      expect(statement).toEqual({ ...NONE, hasMalformedLimit: true });
    },
  );

  it('should keep the valid one of two limits, and report the other', () => {
    const statement = readStatement({ 'server-limit': '40, many' }, wireHeaders);
    expect(statement).toEqual({ ...NONE, limitPerSecond: 40, hasMalformedLimit: true });
  });
});
