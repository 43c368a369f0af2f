// Bundles the instance for the users' platform into one file, so it starts fast and needs no node_modules at run time.
import { build } from 'esbuild';
import { resolve } from 'node:path';

const OUTPUT_FILE = 'target/zincring.js';

const packages = ['core', 'gateway', 'platform', 'scheduling'];

/**
 * Omits zod's error texts other than English: they are half of the bundle and are parsed at every
 * start.
 */
const englishOnly = {
  name: 'english-only',
  setup({ onResolve }) {
    onResolve({ filter: /\/locales\/index\.js$/ }, ({ importer }) =>
      importer.includes('/zod/') ? { path: resolve('scripts/zodLocales.js') } : undefined,
    );
  },
};

await build({
  alias: {
    ...Object.fromEntries(
      packages.map(name => [`@zincring/${name}`, `./packages/${name}/src/index.ts`]),
    ),
    'ts-results': './scripts/tsResults.js',
  },
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
  bundle: true,
  entryPoints: ['platform/src/bin.ts'],
  format: 'esm',
  legalComments: 'none',
  minifySyntax: true,
  minifyWhitespace: true,
  outfile: OUTPUT_FILE,
  platform: 'node',
  plugins: [englishOnly],
  target: 'node20',
});
