import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import { adapterBoundaries, boundaries } from './eslint.boundaries.js';

const RULES = {
  // ES modules import the compiled file by its .js extension.
  'import-x/extensions': 'off',
  // Modules use named exports only.
  'import-x/prefer-default-export': 'off',
  // Sequential awaits in loops are intended.
  'no-await-in-loop': 'off',
  'no-restricted-syntax': [
    'error',
    { selector: 'ForInStatement', message: 'use Object.entries' },
    { selector: 'LabeledStatement', message: 'name a function instead' },
    { selector: 'WithStatement', message: 'with is not allowed' },
  ],
  'no-continue': 'off',
  // Digests and hashes use bitwise operators.
  'no-bitwise': 'off',
  // Enum-like constant objects and their types share a name.
  '@typescript-eslint/no-redeclare': 'off',
  '@typescript-eslint/consistent-type-imports': [
    'error',
    { prefer: 'type-imports', fixStyle: 'separate-type-imports' },
  ],
};

export default [
  { ignores: ['**/dist/**', '**/gen/**', 'node_modules/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    languageOptions: {
      parserOptions: {
        projectService: {
          allowDefaultProject: ['*.js', '*.config.ts', 'packages/*/bin/*.js', 'deploy/*.js'],
        },
        tsconfigRootDir: path.dirname(fileURLToPath(import.meta.url)),
      },
    },
  },
  { rules: RULES },
  {
    files: ['tests/**', 'bench/**', 'soak/**', 'deploy/**', '*.config.*', '*.js'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-console': 'off',
      'n/no-sync': 'off',
    },
  },
  ...adapterBoundaries,
  ...boundaries,
];
