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

/** Options of every command. */
export interface GlobalOptions {
  readonly json: boolean;
  readonly platform: string | undefined;
  readonly settings: string | undefined;
}

/** Runs a command with a context that is created from the global options. */
export type CommandRunner = (
  options: GlobalOptions,
  command: (context: ControlContext) => Promise<ExitCode>,
) => Promise<void>;

const DEFAULT_WAIT_SECONDS = 10;
const DEFAULT_AUDIT_LIMIT = 50;
const MAXIMUM_AUDIT_LIMIT = 1_000;

/** Creates the command-line parser of zincringctl. Each command has a module of its own. */
export function createCommandLine(
  commandLineArguments: readonly string[],
  run: CommandRunner,
): Argv {
  const parser = yargs([...commandLineArguments])
    .scriptName('zincringctl')
    .strict()
    .demandCommand(1)
    .option('platform', { describe: 'IP address and port of the platform', type: 'string' })
    .option('settings', { describe: 'settings file in JSON', type: 'string' })
    .option('json', { default: false, describe: 'write JSON', type: 'boolean' });
  return addQueryCommands(addKeyCommands(addRuleCommands(parser, run), run), run);
}

type GlobalArgv = Argv<GlobalOptions>;

function addRuleCommands(parser: GlobalArgv, run: CommandRunner): GlobalArgv {
  return parser
    .command(
      'check <file>',
      'check a rule file',
      builder => withFileArgument(builder),
      async options => run(options, async context => check(context, options)),
    )
    .command(
      'diff <file>',
      'show what applying a rule file would change',
      builder => withFileArgument(builder),
      async options => run(options, async context => diff(context, options)),
    )
    .command(
      'apply <file>',
      'replace the rules in the store by a rule file',
      builder =>
        withChangeOptions(withFileArgument(builder))
          .option('base-version', {
            coerce: requireVersion,
            describe: 'version that the file is based on',
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

function addKeyCommands(parser: GlobalArgv, run: CommandRunner): GlobalArgv {
  return parser.command('keys', 'issue and withdraw keys', keys =>
    keys
      .demandCommand(1)
      .command(
        'issue <name>',
        'issue a key and show it once',
        builder =>
          withChangeOptions(withKeyNameArgument(builder)).option('workspace', {
            demandOption: true,
            describe: 'workspace of the key',
            type: 'string',
          }),
        async options => run(options, async context => keysIssue(context, options)),
      )
      .command(
        'withdraw <name>',
        'withdraw a key',
        builder => withChangeOptions(withKeyNameArgument(builder)),
        async options => run(options, async context => keysWithdraw(context, options)),
      ),
  );
}

function addQueryCommands(parser: GlobalArgv, run: CommandRunner): GlobalArgv {
  return parser
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
            coerce: requireVersion,
            describe: 'only changes after this version',
            type: 'number',
          })
          .option('limit', {
            default: DEFAULT_AUDIT_LIMIT,
            describe: 'maximum number of changes',
            type: 'number',
          })
          .option('lines', {
            default: false,
            describe: 'show the added and removed lines',
            type: 'boolean',
          }),
      async options =>
        run(options, async context =>
          audit(context, {
            after: options.after,
            includesLines: options.lines,
            limit: Math.min(Math.max(1, options.limit), MAXIMUM_AUDIT_LIMIT),
          }),
        ),
    )
    .command('programs', 'inspect programs', programs =>
      programs.demandCommand(1).command(
        'show <program>',
        'show the state of a program',
        builder => builder.positional('program', { demandOption: true, type: 'string' }),
        async options => run(options, async context => programsShow(context, options)),
      ),
    )
    .command(
      'status',
      'show the status of every instance',
      builder => builder,
      async options => run(options, status),
    );
}

function withFileArgument<Options>(builder: Argv<Options>): Argv<Options & { file: string }> {
  return builder.positional('file', { demandOption: true, describe: 'rule file', type: 'string' });
}

function withKeyNameArgument<Options>(builder: Argv<Options>): Argv<Options & { name: string }> {
  return builder.positional('name', { demandOption: true, describe: 'key name', type: 'string' });
}

function withChangeOptions<Options>(
  builder: Argv<Options>,
): Argv<Options & { changeId: string; reason: string; requester: string; waitSeconds: number }> {
  return builder
    .option('requester', {
      demandOption: true,
      describe: 'who requests the change',
      type: 'string',
    })
    .option('reason', { demandOption: true, describe: 'why the change is made', type: 'string' })
    .option('changeId', {
      alias: 'change-id',
      default: randomUUID(),
      defaultDescription: 'random',
      describe: 'identifier of the change; repeating a command with it has no further effect',
      type: 'string',
    })
    .option('waitSeconds', {
      alias: 'wait-seconds',
      default: DEFAULT_WAIT_SECONDS,
      describe: 'maximum time to wait until the change is in force on every live instance',
      type: 'number',
    });
}

function requireVersion(value: number | undefined): number | undefined {
  if (value !== undefined && !(Number.isSafeInteger(value) && value >= 0)) {
    throw new Error('a version must be a non-negative integer');
  }
  return value;
}
