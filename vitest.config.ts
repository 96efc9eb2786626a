import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const BUILT_LIBRARY = fileURLToPath(new URL('./packages/lentillb/dist/', import.meta.url));

export default defineConfig({
  test: {
    include: ['tests/**/*.spec.ts'],
    reporters: ['default', './tests/closingLine.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    // Built packages are not transformed, so that Node.js resolves their imports as in production.
    server: { deps: { external: [/packages\/\w+\/dist\//] } },
    maxWorkers: 4,
  },
  resolve: { alias: [{ find: /^lentillb\/(.*)$/, replacement: `${BUILT_LIBRARY}$1` }] },
});
