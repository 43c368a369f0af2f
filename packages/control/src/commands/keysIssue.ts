import { hashKey } from '@zincring/core';

import type { ChangeOptions, ControlContext } from '../context/controlContext.js';
import type { ExitCode } from '../exitCode.js';

import { changeRules } from '../changeRules.js';
import { checkChangeOptions } from '../context/checkChangeOptions.js';
import { failInvalid, failPlatform, failRules } from '../context/failures.js';
import { failConflict, finishChange } from '../finishChange.js';

/** Options of `keys issue`. */
export interface KeysIssueOptions extends ChangeOptions {
  /** Name in the rule of the key. */
  readonly name: string;
  readonly workspace: string;
}

/** Number of random bytes of a key. */
const KEY_BYTES = 32;
/** Prefix by which keys are recognised in order to omit them from logs. */
const KEY_PREFIX = 'zincring-';

/**
 * Issues a key. The key is shown only once, since only its hash is stored.
 *
 * @example
 * const exitCode = await keysIssue(context, { name: 'clerk', workspace: 'utility', … });
 */
export async function keysIssue(
  context: ControlContext,
  options: KeysIssueOptions,
): Promise<ExitCode> {
  const problem = checkChangeOptions(options);
  if (problem !== undefined) {
    return failInvalid(context, problem);
  }
  const key = `${KEY_PREFIX}${context.randomBytes(KEY_BYTES).toString('base64url')}`;
  const { name, reason, requester, workspace } = options;
  const settings = `workspace=${workspace} hash=${hashKey(key)}`;
  const line = `key ${name} ${settings} # ${requester.trim()}: ${reason.trim()}`;
  const changed = await changeRules(context, options, () => ({ added: [line], removed: [] }));
  if (changed.err) {
    switch (changed.val.kind) {
      case 'invalid':
        return failRules(context, changed.val.errors);
      case 'nothing-to-do':
        return failInvalid(context, 'there is nothing to issue');
      case 'platform':
        return failPlatform(context, changed.val.error, options.changeId);
    }
  }
  if (changed.val.status === 'conflict') {
    return failConflict(context, changed.val);
  }
  if (changed.val.isRepeated) {
    return failInvalid(context, 'the key of this change id was shown when it was issued');
  }
  return await finishChange(context, changed.val, options, {
    json: { key, name },
    lines: [`key ${name} of workspace ${workspace}, shown only now:`, key],
  });
}
