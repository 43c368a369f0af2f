// Bundles the instance for the users' platform into one file, with the code that its first requests need already compiled,
// so it starts fast and needs no node_modules at run time. Argument: the output folder.
import { build } from 'esbuild';
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { resolve } from 'node:path';
import process from 'node:process';

const OUTPUT_FOLDER = process.argv[2] ?? 'target';
const BUNDLE_FILE = `${OUTPUT_FOLDER}/instance.js`;
const LAUNCHER_FILE = `${OUTPUT_FOLDER}/zincring.js`;
const CODE_CACHE_FILE = `${OUTPUT_FOLDER}/instance.cache`;
/** Length of the text by which a process names its build. */
const BUILD_LENGTH = 12;
const BUILD_PLACEHOLDER = '@zincring-build@';
/** Time after which the warm-up run is given up, in milliseconds. */
const WARM_UP_TIMEOUT_MILLISECONDS = 60_000;

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

/** Returns the options that the deploy file passes to node; V8 accepts a code cache only under the options it was made with. */
function readNodeOptions() {
  const [, words = ''] = /^run = "node (.*?)target\//m.exec(
    readFileSync('deploy/system.toml', 'utf8'),
  );
  return words.split(' ').filter(word => word !== '');
}

/** Writes the bundle with a digest of its text in place of the placeholder, so that a process can say what it runs. */
function writeBundle(text) {
  const digest = createHash('sha256').update(text).digest('hex');
  writeFileSync(BUNDLE_FILE, text.replace(BUILD_PLACEHOLDER, digest.slice(0, BUILD_LENGTH)));
}

mkdirSync(OUTPUT_FOLDER, { recursive: true });
const bundle = await build({
  alias: {
    ...Object.fromEntries(
      packages.map(name => [`@zincring/${name}`, `./packages/${name}/src/index.ts`]),
    ),
    'ts-results': './scripts/tsResults.js',
  },
  // The launcher calls this function; the parentheses let V8 compile it at once.
  banner: {
    js: "(function (require, module, __filename) { const bundleUrl = require('node:url').pathToFileURL(__filename).href;",
  },
  bundle: true,
  define: { 'import.meta.url': 'bundleUrl', ZINCRING_BUILD: JSON.stringify(BUILD_PLACEHOLDER) },
  entryPoints: ['platform/src/bin.ts'],
  footer: { js: '})' },
  format: 'cjs',
  legalComments: 'none',
  minifySyntax: true,
  minifyWhitespace: true,
  outfile: BUNDLE_FILE,
  platform: 'node',
  plugins: [englishOnly],
  target: 'node20',
  write: false,
});
writeBundle(bundle.outputFiles[0].text);
copyFileSync('scripts/launcher.cjs', LAUNCHER_FILE);
// Without the package's module type, node starts the launcher without loading its ES module loader.
writeFileSync(`${OUTPUT_FOLDER}/package.json`, '{ "type": "commonjs" }\n');
rmSync(CODE_CACHE_FILE, { force: true });
const warmUp = spawnSync(
  process.execPath,
  [...readNodeOptions(), 'platform/codeCache/makeCodeCache.js', BUNDLE_FILE, CODE_CACHE_FILE],
  { stdio: ['ignore', 'ignore', 'inherit'], timeout: WARM_UP_TIMEOUT_MILLISECONDS },
);
if (warmUp.status !== 0) {
  process.stderr.write('no code cache was made: instances start without one\n');
}
