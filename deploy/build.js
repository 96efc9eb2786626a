/** Bundles the platform's program into one file, which starts faster than many modules. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/lentillb.cjs',
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
