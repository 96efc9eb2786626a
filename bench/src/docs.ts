/** Writes the recorded figures into the capacity page. */
import { readFile, writeFile } from 'node:fs/promises';
import { withFigures } from './figuresTable.js';

const PAGE = 'docs/CAPACITY.md';

await writeFile(PAGE, await withFigures(await readFile(PAGE, 'utf8')));
