/** Renders the recorded figures of all benchmarks as a table for docs/CAPACITY.md. */
import { readdir, readFile } from 'node:fs/promises';
import path from 'node:path';

interface RecordedResult {
  readonly bench: string;
  readonly seed: number;
  readonly sizes: readonly number[];
  readonly figures: Readonly<Record<string, number>>;
  readonly bounds: readonly { readonly figure: string; readonly most: number }[];
}

const RESULTS_FOLDER = 'bench/results';
const BEGIN_MARKER = '<!-- figures: made by npm run docs -->';
const END_MARKER = '<!-- end of figures -->';

async function readRecorded(): Promise<readonly RecordedResult[]> {
  const files = (await readdir(RESULTS_FOLDER)).filter((file) => file.endsWith('.json')).sort();
  return Promise.all(
    files.map(
      async (file) =>
        JSON.parse(await readFile(path.join(RESULTS_FOLDER, file), 'utf8')) as RecordedResult,
    ),
  );
}

function rowsOf({ bench, sizes, figures, bounds }: RecordedResult): readonly string[] {
  return Object.entries(figures).map(([figure, value]) => {
    const bound = bounds.find((candidate) => candidate.figure === figure);
    const row = `| ${bench} | ${sizes.join(', ')} | ${figure} | ${value} |`;
    if (bound === undefined) {
      return `${row} | |`;
    }
    return `${row} ${bound.most} | ${value <= bound.most ? 'held' : 'NOT HELD'} |`;
  });
}

/**
 * Replaces the figures table of a page with one made from the recorded results.
 *
 * @param page - the page in Markdown, with both markers of the table
 * @returns the page with the current table
 */
export async function withFigures(page: string): Promise<string> {
  const recorded = await readRecorded();
  const table = [
    '| benchmark | sizes | figure | value | bound | |',
    '| --- | --- | --- | --- | --- | --- |',
    ...recorded.flatMap(rowsOf),
  ].join('\n');
  const before = page.slice(0, page.indexOf(BEGIN_MARKER) + BEGIN_MARKER.length);
  return `${before}\n\n${table}\n\n${page.slice(page.indexOf(END_MARKER))}`;
}
