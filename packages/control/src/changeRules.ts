import type { Result } from '@zincring/core';
import type { ChangeOutcome } from '@zincring/coordination';
import type { PlatformError } from '@zincring/platform';
import type { RuleDifference, RuleError } from '@zincring/rules';

import { Err, Ok } from '@zincring/core';
import { RuleSet } from '@zincring/rules';

import type { ChangeOptions, ControlContext } from './context/controlContext.js';

import { readStoredRules } from './storedRules.js';

/** Works out a difference from the lines in the store; `undefined` when there is nothing to do. */
export type DifferenceMaker = (lines: readonly string[]) => RuleDifference | undefined;

/** Why a change of single rules was not made. */
export type ChangeFailure =
  | { readonly kind: 'invalid'; readonly errors: readonly RuleError[] }
  | { readonly kind: 'nothing-to-do' }
  | { readonly kind: 'platform'; readonly error: PlatformError };

/** How often a change of single rules is tried while others change the rules too. */
const MOST_ATTEMPTS = 10;

/**
 * Changes single rules. Other changes that are accepted first do no harm: the difference is worked
 * out anew from what they left.
 */
export async function changeRules(
  context: ControlContext,
  options: ChangeOptions,
  makeDifference: DifferenceMaker,
): Promise<Result<ChangeOutcome, ChangeFailure>> {
  const { changeId, reason, requester } = options;
  let outcome: ChangeOutcome = { changes: [], status: 'conflict' };
  for (let attempt = 0; attempt < MOST_ATTEMPTS && outcome.status === 'conflict'; attempt++) {
    const stored = await readStoredRules(context.changes);
    if (stored.err) {
      return Err({ error: stored.val, kind: 'platform' });
    }
    const { head, lines } = stored.val;
    const difference = makeDifference(lines);
    if (difference === undefined) {
      return Err({ kind: 'nothing-to-do' });
    }
    const errors = findErrors(lines, difference);
    if (errors.length > 0) {
      return Err({ errors, kind: 'invalid' });
    }
    const at = context.timers.wallClock();
    const proposed = { ...difference, at, changeId, reason, requester };
    const accepted = await context.changes.accept(head, proposed, lines);
    if (accepted.err) {
      return Err({ error: accepted.val, kind: 'platform' });
    }
    outcome = accepted.val;
  }
  return Ok(outcome);
}

function findErrors(lines: readonly string[], difference: RuleDifference): readonly RuleError[] {
  const rules = new RuleSet();
  const before = rules.apply({ added: lines, removed: [] });
  if (before.err) {
    return before.val;
  }
  const after = rules.apply(difference);
  return after.err ? after.val : [];
}
