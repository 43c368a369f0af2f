import type { RuleDifference } from '@zincring/rules';

import { diffRuleLines, parseRuleLine, parseCanonicalLines } from '@zincring/rules';

import type { ChangeOptions, ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { checkChangeOptions } from '../context/checkChangeOptions.js';
import { failInvalid, failPlatform, failRules } from '../context/failures.js';
import { failConflict, finishChange } from '../finishChange.js';
import { readStoredRules } from '../storedRules.js';
import { parseVersionComment } from '../versionComment.js';

/** Options of `apply`. */
export interface ApplyOptions extends ChangeOptions {
  readonly file: string;
  /** Version that the file is based on; overrides the version comment in the file. */
  readonly baseVersion: number | undefined;
  /** Whether keys that are missing from the file may be withdrawn. */
  readonly mayWithdrawKeys: boolean;
}

/**
 * Replaces the rules in the store by those of a file. Nothing is applied unless the whole file is
 * valid.
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
  const fileLines = parseCanonicalLines(text);
  if (fileLines.err) {
    return failRules(context, fileLines.val);
  }
  const stored = await readStoredRules(context.changes);
  if (stored.err) {
    return failPlatform(context, stored.val);
  }
  const { head, lines } = stored.val;
  const baseVersion = options.baseVersion ?? parseVersionComment(text);
  if (baseVersion !== undefined && baseVersion !== head.version) {
    return await refuseOutdatedBase(context, baseVersion, options);
  }
  const difference = diffRuleLines(lines, fileLines.val);
  const withdrawnNames = findWithdrawnKeys(difference);
  if (withdrawnNames.length > 0 && !options.mayWithdrawKeys) {
    const names = withdrawnNames.join(', ');
    return failInvalid(
      context,
      `the file leaves out keys in force (${names}); add --withdraw-keys`,
    );
  }
  return await submitChange(context, options, { difference, head, lines });
}

async function submitChange(
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
    lines: [`${difference.added.length} rules added, ${difference.removed.length} removed`],
  };
  if (difference.added.length + difference.removed.length === 0 && head.version > 0) {
    const unchanged = { isRepeated: true, status: 'accepted', version: head.version } as const;
    return await finishChange(context, unchanged, options, { ...report, state: 'unchanged' });
  }
  const { changeId, reason, requester } = options;
  const at = context.timers.wallClock();
  const proposed = { ...difference, at, changeId, reason, requester };
  const outcome = await context.changes.accept(head, proposed, lines);
  if (outcome.err) {
    return failPlatform(context, outcome.val, changeId);
  }
  return outcome.val.status === 'conflict'
    ? failConflict(context, outcome.val)
    : await finishChange(context, outcome.val, options, report);
}

async function refuseOutdatedBase(
  context: ControlContext,
  baseVersion: number,
  options: ApplyOptions,
): Promise<ExitCode> {
  const acceptedVersion = await context.changes.findAccepted(options.changeId);
  const changes = await context.changes.readChanges(baseVersion);
  if (acceptedVersion.err) {
    return failPlatform(context, acceptedVersion.val);
  }
  if (changes.err) {
    return failPlatform(context, changes.val);
  }
  if (acceptedVersion.val !== undefined) {
    const repeated = {
      isRepeated: true,
      status: 'accepted',
      version: acceptedVersion.val,
    } as const;
    return await finishChange(context, repeated, options, { json: {}, lines: [] });
  }
  return failConflict(context, { changes: changes.val, status: 'conflict' });
}

/** Names of the keys that a difference removes without adding a rule with the same hash. */
function findWithdrawnKeys(difference: RuleDifference): readonly string[] {
  const keyNamesByHash = (lines: readonly string[]): ReadonlyMap<string, string> =>
    new Map(
      lines
        .map(line => parseRuleLine(line, 1).unwrapOr(undefined))
        .flatMap(rule => (rule?.kind === 'key' ? [[rule.hash, rule.name]] : [])),
    );
  const addedKeyNames = keyNamesByHash(difference.added);
  return [...keyNamesByHash(difference.removed)]
    .filter(([hash]) => !addedKeyNames.has(hash))
    .map(([, name]) => name);
}
