/**
 * Bundles the program for the platform into one file, which starts faster than many modules.
 * Takes the path of the output file; the default is the file that system.toml runs.
 */
import { build } from 'esbuild';

const DEFAULT_FILE = 'target/lentillb.cjs';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: process.argv[2] ?? DEFAULT_FILE,
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: { 'lentillb/sidecar': './packages/lentillb/src/sidecar/index.ts' },
  // Optional dependencies of the logger, which are not installed.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
});
