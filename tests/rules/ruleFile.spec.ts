import { readFileSync } from 'node:fs';
import { parseRuleFile, printFault } from 'lentillb';
import { describe, expect, it } from 'vitest';

const GOOD_SERVICE =
  'service holds port any slots 18 connections 110 ramp 10s drain 10s # Janis (planning): holds';

function faultsOf(text: string): readonly string[] {
  const parsed = parseRuleFile(text);
  return parsed.isErr() ? parsed.error.map((fault) => printFault('rules.txt', fault)) : [];
}

describe('rule file', () => {
  it.each(['muscat', 'riga'])('should accept the rules of %s', (name) => {
    const text = readFileSync(`examples/${name}.rules`, 'utf8');
    expect(faultsOf(text)).toEqual([]);
  });

  it('should name line, column, fault and remedy', () => {
    const text = `${GOOD_SERVICE}\nroute GET /holds/** to bokings within 2s repeat priority low # Janis: look-ups\n`;
    expect(faultsOf(text)).toEqual([
      'rules.txt:2:1: route to unknown service "bokings"; declared services: holds',
    ]);
  });
});
