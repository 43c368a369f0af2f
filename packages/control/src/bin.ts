#!/usr/bin/env node
import { readFile } from 'node:fs/promises';

import { SystemTimerService } from '@zincring/core';
import { VersionedChanges } from '@zincring/coordination';
import { connectPlatform } from '@zincring/platform';
import { formatRuleError, parseRules } from '@zincring/rules';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { applyRules } from './applyRules.js';

/** Exit codes; docs/OPERATORS.md lists them. */
const exitCodes = { conflict: 3, invalid: 2, unavailable: 4 } as const;

const PLATFORM_TIMEOUT_MILLISECONDS = 5_000;

async function apply(options: {
  readonly file: string;
  readonly platform: string;
  readonly reason: string;
  readonly requester: string;
}): Promise<void> {
  const text = await readFile(options.file, 'utf8');
  const rules = parseRules(text);
  if (rules.err) {
    process.stderr.write(`${rules.val.map(formatRuleError).join('\n')}\n`);
    process.exitCode = exitCodes.invalid;
    return;
  }
  const platform = connectPlatform({
    address: options.platform,
    timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS,
  });
  const timers = new SystemTimerService();
  const changes = new VersionedChanges({ ...platform, name: 'configuration', timers });
  const outcome = await applyRules(text, options, { changes, timers });
  platform.close();
  if (outcome.err) {
    process.stderr.write(`${outcome.val.message}\n`);
    process.exitCode = exitCodes.unavailable;
    return;
  }
  process.stdout.write(`${JSON.stringify(outcome.val)}\n`);
  if (outcome.val.status === 'conflict') {
    process.exitCode = exitCodes.conflict;
  }
}

await yargs(hideBin(process.argv))
  .scriptName('zincringctl')
  .strict()
  .demandCommand(1)
  .option('platform', {
    demandOption: true,
    describe: 'IP number and port of the platform',
    type: 'string',
  })
  .command(
    'apply <file>',
    'put a rule file in force',
    builder =>
      builder
        .positional('file', { demandOption: true, describe: 'rule file', type: 'string' })
        .option('requester', { demandOption: true, describe: 'who asks', type: 'string' })
        .option('reason', { demandOption: true, describe: 'why', type: 'string' }),
    async settings => apply(settings),
  )
  .parseAsync();
