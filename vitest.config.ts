import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    fileParallelism: true,
    maxWorkers: 4,
    projects: [
      {
        extends: true,
        test: {
          include: ['packages/*/tests/**/*.test.ts', 'platform/tests/**/*.test.ts'],
          exclude: ['**/*.process.test.ts'],
          name: 'focused',
          testTimeout: 60_000,
        },
      },
      {
        extends: true,
        test: {
          fileParallelism: false,
          hookTimeout: 120_000,
          include: ['packages/*/tests/**/*.process.test.ts', 'platform/tests/**/*.process.test.ts'],
          name: 'process',
          testTimeout: 180_000,
        },
      },
    ],
  },
  resolve: {
    alias: [
      {
        find: /^@zincring\/([a-z-]+)$/,
        replacement: `${import.meta.dirname}/packages/$1/src/index.ts`,
      },
    ],
  },
});
