import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { describe, expect, it } from 'vitest';

/** Patterns of names that only the platform uses; the library has names of its own for them. */
const PLATFORM_NAMES = [
  /x-(attempt-id|deadline-ms|server-seal|expected-instance|not-executed|caller-service)/i,
  /LENTILLB_SETTINGS/,
  /log-(append|read|newest|trim|join)/,
  /keyed\.(op|servers|status)/,
  /weighted-services|route-type|non_idempotent|max-attempts|warmup-left|path-prefix/,
  /retry-budget-(ratio|extra)|budget-window|port-range|listen-addrs|app-addr/,
];

const LIBRARY = 'packages/lentillb/src';

const sources = readdirSync(LIBRARY, { recursive: true })
  .map(String)
  .filter((file) => file.endsWith('.ts'))
  .map((file) => path.join(LIBRARY, file));

describe('library', () => {
  it('should not contain names of the platform', () => {
    expect(sources.length).toBeGreaterThan(100);
    const found = sources.flatMap((file) => {
      const text = readFileSync(file, 'utf8');
      return PLATFORM_NAMES.filter((name) => name.test(text)).map((name) => `${file}: ${name}`);
    });
    expect(found).toEqual([]);
  });
});
