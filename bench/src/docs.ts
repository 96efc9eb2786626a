/** Updates the figures table in docs/CAPACITY.md from the recorded results. */
import { readFile, writeFile } from 'node:fs/promises';
import { withFigures } from './figuresTable.js';

const PAGE = 'docs/CAPACITY.md';

await writeFile(PAGE, await withFigures(await readFile(PAGE, 'utf8')));
