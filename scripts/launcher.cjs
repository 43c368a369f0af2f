// Starts the bundle of the instance from the code that was compiled when it was built. The build copies this file to target/zincring.js.
'use strict';

const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const process = require('node:process');
const { Script } = require('node:vm');

const BUNDLE_FILE = join(module.path, 'instance.js');
const CODE_CACHE_FILE = join(module.path, 'instance.cache');

/** Reads the code cache; a build that could not make one has none. */
function readCodeCache() {
  try {
    return readFileSync(CODE_CACHE_FILE);
  } catch {
    return undefined;
  }
}

const cachedData = readCodeCache();
const script = new Script(readFileSync(BUNDLE_FILE, 'latin1'), {
  cachedData,
  filename: BUNDLE_FILE,
});
if (cachedData === undefined || script.cachedDataRejected) {
  const reason = cachedData === undefined ? 'missing' : 'rejected';
  const line = {
    level: 30,
    time: Date.now(),
    event: 'code-cache-unused',
    reason,
    msg: 'starting without the compiled code',
  };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}
script.runInThisContext()(require, module, BUNDLE_FILE);
