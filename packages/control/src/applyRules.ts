import type { Result, TimerService } from '@zincring/core';
import type { VersionedChanges } from '@zincring/coordination';
import type { PlatformError } from '@zincring/platform';

import { randomUUID } from 'node:crypto';

import { Ok } from '@zincring/core';
import { ruleLines } from '@zincring/rules';

/** Who asks for a change, and why. */
export interface ChangeOrigin {
  readonly requester: string;
  readonly reason: string;
}

/** How applying rules ended. */
export type ApplyOutcome =
  | {
      readonly status: 'accepted';
      readonly version: number;
      readonly added: number;
      readonly removed: number;
    }
  | { readonly status: 'conflict' }
  | { readonly status: 'unchanged'; readonly version: number };

/** What applying rules needs. */
export interface ApplyOptions {
  readonly changes: VersionedChanges;
  readonly timers: TimerService;
}

/**
 * Replaces the rules in force by those of a file that has been checked.
 *
 * @example
 * const outcome = await applyRules(text, { requester: 'dana', reason: 'pilot' }, options);
 */
export async function applyRules(
  text: string,
  origin: ChangeOrigin,
  options: ApplyOptions,
): Promise<Result<ApplyOutcome, PlatformError>> {
  const head = await options.changes.readHead();
  if (head.err) {
    return head;
  }
  const history = await options.changes.readChanges(0);
  if (history.err) {
    return history;
  }
  const current = new Set<string>();
  for (const change of history.val) {
    change.removed.forEach(line => current.delete(line));
    change.added.forEach(line => current.add(line));
  }
  const wanted = new Set(ruleLines(text));
  const added = [...wanted].filter(line => !current.has(line));
  const removed = [...current].filter(line => !wanted.has(line));
  if (added.length === 0 && removed.length === 0 && head.val.version > 0) {
    return Ok({ status: 'unchanged', version: head.val.version });
  }
  const accepted = await options.changes.accept(head.val, {
    ...origin,
    added,
    at: options.timers.wallClock(),
    changeId: randomUUID(),
    removed,
  });
  return accepted.map(outcome =>
    outcome.status === 'conflict'
      ? outcome
      : {
          added: added.length,
          removed: removed.length,
          status: 'accepted',
          version: outcome.version,
        },
  );
}
