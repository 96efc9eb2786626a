/** Updates the settings table in the documentation for operators. */
import { readFile, writeFile } from 'node:fs/promises';
import { updateSettingsTable } from './settingsTable.js';

const PAGE = 'docs/operators/installing.md';

await writeFile(PAGE, updateSettingsTable(await readFile(PAGE, 'utf8')));
