#!/usr/bin/env node
import { randomBytes } from 'node:crypto';
import { readFile } from 'node:fs/promises';

import type { Result } from '@zincring/core';

import { Err, failureText, SystemTimerService } from '@zincring/core';
import { VersionedChanges } from '@zincring/coordination';
import { connectPlatform } from '@zincring/platform';
import { hideBin } from 'yargs/helpers';

import type { CommandRunner, GlobalOptions } from './commandLine.js';
import type { ControlContext } from './context/controlContext.js';
import type { ControlSettings } from './controlSettings.js';
import type { ExitCode } from './exitCode.js';

import { createCommandLine } from './commandLine.js';
import { ConnectOperatorClients } from './context/operatorClients.js';
import { Output } from './context/output.js';
import { parseControlSettings } from './controlSettings.js';
import { exitCodes } from './exitCode.js';

/** Placeholder address for commands that do not connect to the platform, such as `check`. */
const UNUSED_PLATFORM_ADDRESS = '127.0.0.1:1';
const COMMANDS_WITHOUT_PLATFORM = new Set(['check']);

async function loadSettings(
  options: GlobalOptions,
): Promise<Result<ControlSettings, readonly string[]>> {
  if (options.platform !== undefined) {
    return parseControlSettings({ platform: { address: options.platform } });
  }
  if (options.settings === undefined) {
    const isPlatformRequired = !COMMANDS_WITHOUT_PLATFORM.has(hideBin(process.argv)[0] ?? '');
    return isPlatformRequired
      ? Err(['give --platform or --settings'])
      : parseControlSettings({ platform: { address: UNUSED_PLATFORM_ADDRESS } });
  }
  try {
    return parseControlSettings(JSON.parse(await readFile(options.settings, 'utf8')));
  } catch (failure) {
    return Err([`${options.settings}: ${failureText(failure)}`]);
  }
}

const run: CommandRunner = async (options, command) => {
  const output = new Output({
    errors: process.stderr,
    isJson: options.json,
    standard: process.stdout,
  });
  const settings = await loadSettings(options);
  if (settings.err) {
    output.fail({
      json: { error: 'invalid', errors: settings.val },
      text: settings.val.join('\n'),
    });
    process.exitCode = exitCodes.invalid;
    return;
  }
  const platform = connectPlatform(settings.val.platform);
  const operators = new ConnectOperatorClients();
  const timers = new SystemTimerService();
  const context: ControlContext = {
    changes: new VersionedChanges({ ...platform, name: 'configuration', timers }),
    directory: platform.directory,
    operators,
    output,
    randomBytes,
    readFile: async path => readFile(path, 'utf8'),
    timers,
  };
  process.exitCode = await runAndReportFailure(output, async () => command(context));
  operators.close();
  platform.close();
};

/** Runs a command; reports an unexpected failure, such as an unreadable file, in one line. */
async function runAndReportFailure(
  output: Output,
  action: () => Promise<ExitCode>,
): Promise<ExitCode> {
  try {
    return await action();
  } catch (failure) {
    const message = failureText(failure);
    output.fail({ json: { error: 'failed', message }, text: message });
    return exitCodes.failed;
  }
}

await createCommandLine(hideBin(process.argv), run).parseAsync();
