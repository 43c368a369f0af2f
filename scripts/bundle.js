// Bundles the instance for the users' platform into one file: a short start, and no node_modules at run time.
import { build } from 'esbuild';

const OUTPUT_FILE = 'target/zincring.js';

const packages = ['core', 'gateway', 'platform', 'scheduling'];

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
  outfile: OUTPUT_FILE,
  platform: 'node',
  target: 'node20',
});
