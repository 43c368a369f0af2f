#!/usr/bin/env node
import { readFile } from 'node:fs/promises';

import {
  createLogger,
  createStatsdMetrics,
  discardingMetrics,
  Err,
  failureText,
  handleProcessSignals,
  SystemTimerService,
} from '@zincring/core';
import { connectPlatform } from '@zincring/platform';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import type { Settings } from './lifecycle/settings.js';

import { Instance } from './lifecycle/instance.js';
import { parseSettings } from './lifecycle/settings.js';

/** Exit code of a process whose settings are not valid. */
const EXIT_INVALID_SETTINGS = 2;

async function loadSettingsOrExit(file: string): Promise<Settings> {
  const parsed = await readSettings(file);
  if (parsed.ok) {
    return parsed.val;
  }
  for (const { message, path } of parsed.val) {
    process.stderr.write(`${path}: ${message}\n`);
  }
  return process.exit(EXIT_INVALID_SETTINGS);
}

async function readSettings(file: string): Promise<ReturnType<typeof parseSettings>> {
  try {
    return parseSettings(await readFile(file, 'utf8'));
  } catch (failure) {
    return Err([{ message: failureText(failure), path: file }]);
  }
}

async function serve(file: string): Promise<void> {
  const settings = await loadSettingsOrExit(file);
  const logger = createLogger(settings.logLevel, { instance: settings.instance });
  const instance = new Instance({
    logger,
    metrics:
      settings.metrics === undefined
        ? discardingMetrics
        : createStatsdMetrics({ ...settings.metrics, tags: { zone: settings.zone } }),
    platform: connectPlatform(settings.platform),
    settings,
    timers: new SystemTimerService(),
  });
  handleProcessSignals({
    logger,
    stop: async () => {
      await instance.stop();
    },
  });
  await instance.start();
}

await yargs(hideBin(process.argv))
  .scriptName('zincring')
  .strict()
  .option('settings', {
    default: 'zincring.json',
    describe: 'JSON file with the settings',
    type: 'string',
  })
  .command(
    '$0',
    'serve callers',
    builder => builder,
    async ({ settings }) => serve(settings),
  )
  .command(
    'check-settings',
    'check the settings and print them with their defaults',
    builder => builder,
    async ({ settings }) => {
      process.stdout.write(`${JSON.stringify(await loadSettingsOrExit(settings), undefined, 2)}\n`);
    },
  )
  .parseAsync();
