import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { updateSettingsTable } from '@lentillb/cli';
import { describe, expect, it } from 'vitest';
import { withFigures } from '../../bench/dist/figuresTable.js';

const pages = [
  'README.md',
  ...readdirSync('docs', { recursive: true }).map((file) => `docs/${file}`),
]
  .map(String)
  .filter((file) => file.endsWith('.md'));

/** Removes the padding that the formatter adds to table cells, so that only their content counts. */
function withoutPadding(text: string): string {
  return text.replaceAll(/ +/g, ' ').replaceAll(/-{3,}/g, '---');
}

describe('documentation', () => {
  it('should list the settings as the code defines them', () => {
    const page = readFileSync('docs/operators/installing.md', 'utf8');
    expect(withoutPadding(page)).toBe(withoutPadding(updateSettingsTable(page)));
  });

  it('should quote the figures that were recorded last', async () => {
    const page = readFileSync('docs/CAPACITY.md', 'utf8');
    expect(withoutPadding(page)).toBe(withoutPadding(await withFigures(page)));
  });

  it.each(pages)('should link from %s only to files that exist', (page) => {
    const text = readFileSync(page, 'utf8');
    const targets = [...text.matchAll(/\]\((?!https?:)([^)#]+)/g)].map(([, target]) => target);
    const missing = targets.filter(
      (target) => !existsSync(path.join(path.dirname(page), target as string)),
    );
    expect(missing).toEqual([]);
  });
});
