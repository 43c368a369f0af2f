import type { Argv } from 'yargs';

import { randomUUID } from 'node:crypto';

import yargs from 'yargs';

import type { ControlContext } from './context/controlContext.js';
import type { ExitCode } from './exitCode.js';

import { apply } from './commands/apply.js';
import { audit } from './commands/audit.js';
import { check } from './commands/check.js';
import { diff } from './commands/diff.js';
import { keysIssue } from './commands/keysIssue.js';
import { keysWithdraw } from './commands/keysWithdraw.js';
import { programsShow } from './commands/programsShow.js';
import { show } from './commands/show.js';
import { status } from './commands/status.js';

/** What every command takes. */
export interface GlobalOptions {
  readonly json: boolean;
  readonly platform: string | undefined;
  readonly settings: string | undefined;
}

/** Runs a command with a context made from the global options. */
export type CommandRunner = (
  options: GlobalOptions,
  command: (context: ControlContext) => Promise<ExitCode>,
) => Promise<void>;

const DEFAULT_WAIT_SECONDS = 10;
const DEFAULT_AUDIT_LIMIT = 50;
const LARGEST_AUDIT_LIMIT = 1_000;

/** The command line of zincringctl; each command stands in a module of its own. */
export function createCommandLine(commandLine: readonly string[], run: CommandRunner): Argv {
  const base = yargs([...commandLine])
    .scriptName('zincringctl')
    .strict()
    .demandCommand(1)
    .option('platform', { describe: 'IP number and port of the platform', type: 'string' })
    .option('settings', { describe: 'file of settings in JSON', type: 'string' })
    .option('json', { default: false, describe: 'write JSON', type: 'boolean' });
  return addQueries(addKeys(addRules(base, run), run), run);
}

type GlobalArgv = Argv<GlobalOptions>;

function addRules(line: GlobalArgv, run: CommandRunner): GlobalArgv {
  return line
    .command(
      'check <file>',
      'check a rule file',
      builder => withFile(builder),
      async options => run(options, async context => check(context, options)),
    )
    .command(
      'diff <file>',
      'tell what applying a rule file would change',
      builder => withFile(builder),
      async options => run(options, async context => diff(context, options)),
    )
    .command(
      'apply <file>',
      'put a rule file in force',
      builder =>
        withOrigin(withFile(builder))
          .option('base-version', {
            coerce: toVersion,
            describe: 'version the file was made from',
            type: 'number',
          })
          .option('withdraw-keys', {
            default: false,
            describe: 'withdraw keys that the file leaves out',
            type: 'boolean',
          }),
      async options =>
        run(options, async context =>
          apply(context, {
            ...options,
            baseVersion: options.baseVersion,
            mayWithdrawKeys: options.withdrawKeys,
          }),
        ),
    );
}

function addKeys(line: GlobalArgv, run: CommandRunner): GlobalArgv {
  return line.command('keys', 'issue and withdraw keys', keys =>
    keys
      .demandCommand(1)
      .command(
        'issue <name>',
        'issue a key and show it once',
        builder =>
          withOrigin(withName(builder)).option('workspace', {
            demandOption: true,
            describe: 'workspace of the key',
            type: 'string',
          }),
        async options => run(options, async context => keysIssue(context, options)),
      )
      .command(
        'withdraw <name>',
        'withdraw a key',
        builder => withOrigin(withName(builder)),
        async options => run(options, async context => keysWithdraw(context, options)),
      ),
  );
}

function addQueries(line: GlobalArgv, run: CommandRunner): GlobalArgv {
  return line
    .command(
      'show',
      'write the rules in the store as a rule file',
      builder => builder,
      async options => run(options, show),
    )
    .command(
      'audit',
      'show accepted changes',
      builder =>
        builder
          .option('after', {
            coerce: toVersion,
            describe: 'only changes after this version',
            type: 'number',
          })
          .option('limit', {
            default: DEFAULT_AUDIT_LIMIT,
            describe: 'most changes',
            type: 'number',
          })
          .option('lines', { default: false, describe: 'show the lines', type: 'boolean' }),
      async options =>
        run(options, async context =>
          audit(context, {
            after: options.after,
            hasLines: options.lines,
            limit: Math.min(Math.max(1, options.limit), LARGEST_AUDIT_LIMIT),
          }),
        ),
    )
    .command('programs', 'look at programs', programs =>
      programs.demandCommand(1).command(
        'show <program>',
        'show the state of a program',
        builder => builder.positional('program', { demandOption: true, type: 'string' }),
        async options => run(options, async context => programsShow(context, options)),
      ),
    )
    .command(
      'status',
      'ask every instance how it stands',
      builder => builder,
      async options => run(options, status),
    );
}

function withFile<Options>(builder: Argv<Options>): Argv<Options & { file: string }> {
  return builder.positional('file', { demandOption: true, describe: 'rule file', type: 'string' });
}

function withName<Options>(builder: Argv<Options>): Argv<Options & { name: string }> {
  return builder.positional('name', { demandOption: true, describe: 'key name', type: 'string' });
}

function withOrigin<Options>(
  builder: Argv<Options>,
): Argv<Options & { changeId: string; reason: string; requester: string; waitSeconds: number }> {
  return builder
    .option('requester', { demandOption: true, describe: 'who asks', type: 'string' })
    .option('reason', { demandOption: true, describe: 'why', type: 'string' })
    .option('changeId', {
      alias: 'change-id',
      default: randomUUID(),
      defaultDescription: 'random',
      describe: 'identifier of the change; asking again with it is harmless',
      type: 'string',
    })
    .option('waitSeconds', {
      alias: 'wait-seconds',
      default: DEFAULT_WAIT_SECONDS,
      describe: 'wait until the change is in force on every live instance',
      type: 'number',
    });
}

function toVersion(value: number | undefined): number | undefined {
  if (value !== undefined && !(Number.isSafeInteger(value) && value >= 0)) {
    throw new Error('a version is a whole number');
  }
  return value;
}
