import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['tests/**/*.spec.ts'],
    reporters: ['default', './tests/closingLine.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
  },
  resolve: { conditions: ['import', 'node'] },
});
