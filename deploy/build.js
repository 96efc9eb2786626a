/**
 * Bundles the platform's program into one file, which starts faster than many modules.
 * Takes the path of the file; without it, the one that system.toml runs.
 */
import { build } from 'esbuild';

const DEFAULT_FILE = 'target/lentillb.cjs';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: process.argv[2] ?? DEFAULT_FILE,
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: { 'lentillb/sidecar': './packages/lentillb/src/sidecar/index.ts' },
  // Optional parts of the logger that are not installed.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
});
