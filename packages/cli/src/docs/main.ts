/** Writes the settings table into the operators' page. */
import { readFile, writeFile } from 'node:fs/promises';
import { withSettings } from './settingsTable.js';

const PAGE = 'docs/operators/installing.md';

await writeFile(PAGE, withSettings(await readFile(PAGE, 'utf8')));
