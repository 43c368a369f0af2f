import type { RuleDifference } from '@zincring/rules';

import { parseRuleLine } from '@zincring/rules';

import type { ChangeOptions, ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { changeRules } from '../changeRules.js';
import { checkChangeOptions } from '../context/checkChangeOptions.js';
import { failInvalid, failNotFound, failPlatform, failRules } from '../context/failures.js';
import { failConflict, finishChange } from '../finishChange.js';

/** Options of `keys withdraw`. */
export interface KeysWithdrawOptions extends ChangeOptions {
  /** Name in the rule of the key. */
  readonly name: string;
}

/**
 * Withdraws a key. Within seconds every instance rejects it and terminates calls that use it.
 *
 * @example
 * const exitCode = await keysWithdraw(context, { name: 'clerk', … });
 */
export async function keysWithdraw(
  context: ControlContext,
  options: KeysWithdrawOptions,
): Promise<ExitCode> {
  const problem = checkChangeOptions(options);
  if (problem !== undefined) {
    return failInvalid(context, problem);
  }
  const acceptedVersion = await context.changes.findAccepted(options.changeId);
  if (acceptedVersion.ok && acceptedVersion.val !== undefined) {
    const accepted = {
      isRepeated: true,
      status: 'accepted',
      version: acceptedVersion.val,
    } as const;
    return await finishChange(context, accepted, options, { json: {}, lines: [] });
  }
  const changed = await changeRules(context, options, lines =>
    computeWithdrawal(lines, options.name),
  );
  if (changed.err) {
    switch (changed.val.kind) {
      case 'invalid':
        return failRules(context, changed.val.errors);
      case 'nothing-to-do':
        return failNotFound(context, `there is no key ${options.name}`);
      case 'platform':
        return failPlatform(context, changed.val.error, options.changeId);
    }
  }
  if (changed.val.status === 'conflict') {
    return failConflict(context, changed.val);
  }
  return await finishChange(context, changed.val, options, {
    json: { name: options.name },
    lines: [`key ${options.name} withdrawn`],
  });
}

function computeWithdrawal(lines: readonly string[], name: string): RuleDifference | undefined {
  const removed = lines.filter(line => {
    const rule = parseRuleLine(line, 1);
    return rule.ok && rule.val.kind === 'key' && rule.val.name === name;
  });
  return removed.length === 0 ? undefined : { added: [], removed };
}
