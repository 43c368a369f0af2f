import type { RuleDifference } from '@zincring/rules';

import { differenceOf, parseRuleLine, ruleLines } from '@zincring/rules';

import type { ChangeOptions, ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { checkChangeOptions } from '../context/checkChangeOptions.js';
import { failInvalid, failPlatform, failRules } from '../context/failures.js';
import { failConflict, finishChange } from '../finishChange.js';
import { readStoredRules } from '../storedRules.js';
import { readVersionMark } from '../versionMark.js';

/** What `apply` takes. */
export interface ApplyOptions extends ChangeOptions {
  readonly file: string;
  /** Version that the file was made from; overrides the mark in the file. */
  readonly baseVersion: number | undefined;
  /** Whether keys that the file leaves out may be withdrawn. */
  readonly mayWithdrawKeys: boolean;
}

/**
 * Replaces the rules in force by those of a file. Nothing is applied unless all of it is valid.
 *
 * @example
 * const exitCode = await apply(context, { file: 'rules.txt', requester: 'dana', … });
 */
export async function apply(context: ControlContext, options: ApplyOptions): Promise<ExitCode> {
  const problem = checkChangeOptions(options);
  if (problem !== undefined) {
    return failInvalid(context, problem);
  }
  const text = await context.readFile(options.file);
  const wanted = ruleLines(text);
  if (wanted.err) {
    return failRules(context, wanted.val);
  }
  const stored = await readStoredRules(context.changes);
  if (stored.err) {
    return failPlatform(context, stored.val);
  }
  const { head, lines } = stored.val;
  const base = options.baseVersion ?? readVersionMark(text);
  if (base !== undefined && base !== head.version) {
    return await refuseOldBase(context, base, options);
  }
  const difference = differenceOf(lines, wanted.val);
  const withdrawn = withdrawnKeys(difference);
  if (withdrawn.length > 0 && !options.mayWithdrawKeys) {
    const names = withdrawn.join(', ');
    return failInvalid(
      context,
      `the file leaves out keys in force (${names}); add --withdraw-keys`,
    );
  }
  return await submit(context, options, { difference, head, lines });
}

async function submit(
  context: ControlContext,
  options: ApplyOptions,
  rules: {
    readonly difference: RuleDifference;
    readonly head: Parameters<ControlContext['changes']['accept']>[0];
    readonly lines: readonly string[];
  },
): Promise<ExitCode> {
  const { difference, head, lines } = rules;
  const report = {
    json: { added: difference.added.length, removed: difference.removed.length },
    lines: [`${difference.added.length} rules put in, ${difference.removed.length} taken out`],
  };
  if (difference.added.length + difference.removed.length === 0 && head.version > 0) {
    const unchanged = { isRepeated: true, status: 'accepted', version: head.version } as const;
    return await finishChange(context, unchanged, options, { ...report, state: 'unchanged' });
  }
  const { changeId, reason, requester } = options;
  const at = context.timers.wallClock();
  const proposed = { ...difference, at, changeId, reason, requester };
  const accepted = await context.changes.accept(head, proposed, lines);
  if (accepted.err) {
    return failPlatform(context, accepted.val, changeId);
  }
  return accepted.val.status === 'conflict'
    ? failConflict(context, accepted.val)
    : await finishChange(context, accepted.val, options, report);
}

async function refuseOldBase(
  context: ControlContext,
  base: number,
  options: ApplyOptions,
): Promise<ExitCode> {
  const accepted = await context.changes.findAccepted(options.changeId);
  const changes = await context.changes.readChanges(base);
  if (accepted.err) {
    return failPlatform(context, accepted.val);
  }
  if (changes.err) {
    return failPlatform(context, changes.val);
  }
  if (accepted.val !== undefined) {
    const repeated = { isRepeated: true, status: 'accepted', version: accepted.val } as const;
    return await finishChange(context, repeated, options, { json: {}, lines: [] });
  }
  return failConflict(context, { changes: changes.val, status: 'conflict' });
}

/** Names of the keys that a difference takes out without putting their hash in again. */
function withdrawnKeys(difference: RuleDifference): readonly string[] {
  const keysOf = (lines: readonly string[]): ReadonlyMap<string, string> =>
    new Map(
      lines
        .map(line => parseRuleLine(line, 1).unwrapOr(undefined))
        .flatMap(rule => (rule?.kind === 'key' ? [[rule.hash, rule.name]] : [])),
    );
  const kept = keysOf(difference.added);
  return [...keysOf(difference.removed)]
    .filter(([hash]) => !kept.has(hash))
    .map(([, name]) => name);
}
