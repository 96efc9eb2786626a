/** Creates lint rules from the imports.json file of each folder, which lists the folders it may import. */
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

const LIBRARY = 'packages/lentillb/src';
const ALLOWED_FILE = 'imports.json';

const ADAPTER_PATTERN = {
  regex: '@lentillb/platform',
  message: 'only the adapter knows the platform',
};

const folders = readdirSync(LIBRARY, { recursive: true, withFileTypes: true })
  .filter((entry) => entry.isFile() && entry.name === ALLOWED_FILE)
  .map((entry) => path.relative(LIBRARY, entry.parentPath));

const allFolders = readdirSync(LIBRARY, { withFileTypes: true })
  .filter((entry) => entry.isDirectory())
  .map((entry) => entry.name);

const missing = allFolders.filter((folder) => !folders.includes(folder));
if (missing.length > 0) {
  throw new Error(`no ${ALLOWED_FILE} in ${missing.join(', ')}; list the folders each may import`);
}

/** One rule per folder, which allows only imports from the folders listed in its imports.json. */
export const boundaries = folders.map((folder) => {
  const allowed = JSON.parse(readFileSync(path.join(LIBRARY, folder, ALLOWED_FILE), 'utf8'));
  const forbidden = allFolders.filter((other) => other !== folder && !allowed.includes(other));
  return {
    files: [`${LIBRARY}/${folder}/**`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            ADAPTER_PATTERN,
            ...forbidden.map((other) => ({
              regex: `^(\\.\\./)+${other}/`,
              message: `${folder}/${ALLOWED_FILE} does not allow imports from ${other}`,
            })),
          ],
        },
      ],
    },
  };
});

/** The platform adapter imports the library only through lentillb/sidecar and lentillb/process; only tests import the adapter. */
export const adapterBoundaries = [
  {
    files: ['packages/**'],
    rules: { 'no-restricted-imports': ['error', { patterns: [ADAPTER_PATTERN] }] },
  },
  {
    files: ['platform/src/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: '^lentillb(?!/(process|sidecar)$)',
              message: 'use lentillb/sidecar or lentillb/process',
            },
          ],
        },
      ],
    },
  },
];
