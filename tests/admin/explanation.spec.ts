import { readFileSync } from 'node:fs';
import { EMPTY_STATE, judgeRecord, publishRecordOf } from 'lentillb';
import { explain } from 'lentillb/admin/explanation.js';
import type { ConfigurationState } from 'lentillb/distribution/configurationState.js';
import { ruleForms } from 'lentillb/rules/ruleForms.js';
import { describe, expect, it } from 'vitest';

const ACCEPTED_AT = new Date('2026-02-03T04:05:06Z');
const emptyFleetView = { endpointsOf: () => [] } as unknown as Parameters<typeof explain>[1];

/** Returns the state with the Muscat rules, one line of which a second operator changed. */
function createPublishedState(): ConfigurationState {
  const before = readFileSync('examples/muscat.rules', 'utf8');
  const after = before.replace('rate 1500', 'rate 1400');
  const first = publishRecordOf({
    publishId: 'a',
    base: 0,
    author: 'salma',
    before: '',
    after: before,
  });
  const second = publishRecordOf({ publishId: 'b', base: 7, author: 'aisha', before, after });
  return judgeRecord(judgeRecord(EMPTY_STATE, first, 7, ACCEPTED_AT), second, 9, ACCEPTED_AT);
}

describe('explanation', () => {
  it('should list every kind of rule that applies, with line, comment, author and version', () => {
    const state = createPublishedState();
    const headers = { 'x-caller-group': 'readers', 'x-trial': 'yes' };
    const request = { method: 'GET', target: '/letters/17', headers };
    const { rules, services, version } = explain(state, emptyFleetView, request);
    expect(version).toBe(9);
    expect(new Set(rules.map(({ kind }) => kind))).toEqual(new Set(Object.keys(ruleForms)));
    rules.forEach(({ line, text, requester, reason, acceptedAt }) => {
      expect(text).toBe(state.lines[line - 1]?.text);
      expect(text).toContain(`# ${requester}: ${reason}`);
      expect(acceptedAt).toBe(ACCEPTED_AT.toISOString());
    });
    const changed = rules.filter(({ author }) => author === 'aisha');
    expect(changed.map(({ kind, version: from }) => [kind, from])).toEqual([['limitGroup', 9]]);
    expect(services.map(({ service }) => service)).toEqual(['browse', 'browse-next']);
  });

  it('should use the first route in the file when several match', () => {
    const request = { method: 'POST', target: '/letters/17/replies', headers: {} };
    const { rules } = explain(createPublishedState(), emptyFleetView, request);
    expect(rules[0]).toMatchObject({ kind: 'route', requester: 'Salma (desk)' });
    expect(rules[0]?.text).toContain('/letters/*/replies');
  });

  it('should list no rules when no route matches the request', () => {
    const request = { method: 'GET', target: '/nowhere', headers: {} };
    expect(explain(createPublishedState(), emptyFleetView, request).rules).toEqual([]);
  });
});
