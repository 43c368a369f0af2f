// Runs all tests. Fails unless every failure is listed in KNOWN-RED.txt; prints the failures that are.
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import process from 'node:process';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const REPORT_FILE = 'build/tests.json';

/** Returns the full names of the tests that may fail: the lines `test: NAME` of the file. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return new Set(
    lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()),
  );
}

const run = spawnSync(
  'npx',
  ['vitest', 'run', '--reporter=default', '--reporter=json', `--outputFile.json=${REPORT_FILE}`],
  { stdio: 'inherit' },
);
if (!existsSync(REPORT_FILE)) {
  process.exit(run.status ?? 1);
}
const report = JSON.parse(readFileSync(REPORT_FILE, 'utf8'));
const knownRed = readKnownRed();
const results = report.testResults.flatMap(file => file.assertionResults);
const failed = results.filter(result => result.status === 'failed');
const unexpected = failed.filter(result => !knownRed.has(result.fullName));
const brokenFiles = report.testResults.filter(
  file => file.status === 'failed' && file.assertionResults.every(each => each.status !== 'failed'),
);
for (const result of failed) {
  const label = knownRed.has(result.fullName) ? 'known red' : 'FAILED';
  process.stdout.write(`${label}: ${result.fullName}\n`);
}
for (const name of knownRed) {
  if (results.some(result => result.fullName === name && result.status === 'passed')) {
    process.stdout.write(`known red, but passed in this run: ${name}\n`);
  }
}
for (const file of brokenFiles) {
  process.stdout.write(`FAILED to load: ${file.name}\n`);
}
const passed = results.filter(result => result.status === 'passed').length;
process.stdout.write(`${passed} passed, ${failed.length + brokenFiles.length} failed\n`);
const isGreen = unexpected.length === 0 && brokenFiles.length === 0 && results.length > 0;
process.exit(isGreen ? 0 : 1);
