import type { Result } from '@zincring/core';
import type { ChangeOutcome } from '@zincring/coordination';
import type { PlatformError } from '@zincring/platform';
import type { RuleDifference, RuleError } from '@zincring/rules';

import { Err, Ok } from '@zincring/core';
import { RuleSet } from '@zincring/rules';

import type { ChangeOptions, ControlContext } from './context/controlContext.js';

import { readStoredRules } from './storedRules.js';

/** Computes a difference from the lines in the store; `undefined` if there is nothing to change. */
export type DifferenceComputation = (lines: readonly string[]) => RuleDifference | undefined;

/** Reason why a change of individual rules was not submitted. */
export type ChangeFailure =
  | { readonly kind: 'invalid'; readonly errors: readonly RuleError[] }
  | { readonly kind: 'nothing-to-do' }
  | { readonly kind: 'platform'; readonly error: PlatformError };

/** Maximum number of attempts while concurrent changes cause conflicts. */
const MAXIMUM_ATTEMPTS = 10;

/**
 * Changes individual rules. If another change is accepted first, the difference is computed again
 * from the updated rules and submitted again.
 */
export async function changeRules(
  context: ControlContext,
  options: ChangeOptions,
  computeDifference: DifferenceComputation,
): Promise<Result<ChangeOutcome, ChangeFailure>> {
  const { changeId, reason, requester } = options;
  let outcome: ChangeOutcome = { changes: [], status: 'conflict' };
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS && outcome.status === 'conflict'; attempt++) {
    const stored = await readStoredRules(context.changes);
    if (stored.err) {
      return Err({ error: stored.val, kind: 'platform' });
    }
    const { head, lines } = stored.val;
    const difference = computeDifference(lines);
    if (difference === undefined) {
      return Err({ kind: 'nothing-to-do' });
    }
    const errors = findErrors(lines, difference);
    if (errors.length > 0) {
      return Err({ errors, kind: 'invalid' });
    }
    const at = context.timers.wallClock();
    const proposed = { ...difference, at, changeId, reason, requester };
    const submitted = await context.changes.accept(head, proposed, lines);
    if (submitted.err) {
      return Err({ error: submitted.val, kind: 'platform' });
    }
    outcome = submitted.val;
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
