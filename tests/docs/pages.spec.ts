import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { withSettings } from '@lentillb/cli';
import { describe, expect, it } from 'vitest';
import { withFigures } from '../../bench/dist/figuresTable.js';

const pages = [
  'README.md',
  ...readdirSync('docs', { recursive: true }).map((file) => `docs/${file}`),
]
  .map(String)
  .filter((file) => file.endsWith('.md'));

/** Table cells are padded by the formatter; their content is compared. */
function withoutPadding(text: string): string {
  return text.replaceAll(/ +/g, ' ').replaceAll(/-{3,}/g, '---');
}

describe('documentation', () => {
  it('should list the settings as the code has them', () => {
    const page = readFileSync('docs/operators/installing.md', 'utf8');
    expect(withoutPadding(page)).toBe(withoutPadding(withSettings(page)));
  });

  it('should quote the figures as they were last recorded', async () => {
    const page = readFileSync('docs/CAPACITY.md', 'utf8');
    expect(withoutPadding(page)).toBe(withoutPadding(await withFigures(page)));
  });

  it.each(pages)('should link from %s only to what is there', (page) => {
    const text = readFileSync(page, 'utf8');
    const targets = [...text.matchAll(/\]\((?!https?:)([^)#]+)/g)].map(([, target]) => target);
    const missing = targets.filter(
      (target) => !existsSync(path.join(path.dirname(page), target as string)),
    );
    expect(missing).toEqual([]);
  });
});
