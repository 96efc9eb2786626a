/**
 * Bundles the program for the platform, which starts faster than from many modules. Takes the path of
 * the output file; the default is the file that system.toml runs. What the program loads once its
 * signals are handled goes into a second file beside it: one file would take longer to parse than
 * signals can wait, and modules that are evaluated late within one file start more slowly.
 */
import path from 'node:path';
import { build } from 'esbuild';

const DEFAULT_FILE = 'target/lentillb.cjs';

const file = process.argv[2] ?? DEFAULT_FILE;
const loadedFile = path.join(path.dirname(file), `${path.basename(file, '.cjs')}-node.cjs`);

const options = {
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: {
    'lentillb/process': './packages/lentillb/src/process/index.ts',
    'lentillb/sidecar': './packages/lentillb/src/sidecar/index.ts',
  },
  // Optional dependencies of the logger, which are not installed.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
};

const loadLate = {
  name: 'load-late',
  setup: ({ onResolve }) =>
    onResolve({ filter: /^\.\/node\.js$/ }, () => ({
      path: `./${path.basename(loadedFile)}`,
      external: true,
    })),
};

await build({ ...options, entryPoints: ['platform/src/node.ts'], outfile: loadedFile });
await build({
  ...options,
  entryPoints: ['platform/src/main.ts'],
  outfile: file,
  plugins: [loadLate],
  // The module loader of `import` takes longer to start than that of `require`.
  supported: { 'dynamic-import': false },
});
