import type { Result } from '@zincring/core';
import type { Change, Head, VersionedChanges } from '@zincring/coordination';
import type { Rule } from '@zincring/rules';

import { applyChanges } from '@zincring/coordination';
import { Err, Ok } from '@zincring/core';
import { PlatformError } from '@zincring/platform';
import { parseRuleLine, ruleKinds } from '@zincring/rules';

/** Newest rules in the store. */
export interface StoredRules {
  readonly head: Head;
  readonly lines: readonly string[];
}

/** Reads the newest rules from the store. */
export async function readStoredRules(
  changes: VersionedChanges,
): Promise<Result<StoredRules, PlatformError>> {
  const head = await changes.readHead();
  if (head.err) {
    return head;
  }
  const update = await changes.readUpdate({ after: 0 });
  if (update.err) {
    return update;
  }
  const { snapshot } = update.val;
  // Changes accepted after the head was read are ignored; the compare-and-set detects them.
  const changesUpToHead = update.val.changes.filter(change => change.version <= head.val.version);
  const isSnapshotNewer = snapshot !== undefined && snapshot.version > head.val.version;
  const lines = applyChanges(
    new Set(snapshot?.lines ?? []),
    isSnapshotNewer ? [] : changesUpToHead,
  );
  if (isSnapshotNewer || lines.err) {
    return Err(new PlatformError('unavailable', 'the rules changed while they were read'));
  }
  return Ok({ head: head.val, lines: [...lines.val] });
}

/**
 * Sorts lines by kind, then by name; a line that does not parse comes last.
 *
 * @example
 * sortRuleLines(['workspace b …', 'key a …']); // ['key a …', 'workspace b …']
 */
export function sortRuleLines(lines: readonly string[]): readonly string[] {
  const rankedLines = lines.map(line => ({
    line,
    rank: findRank(parseRuleLine(line, 1).unwrapOr(undefined)),
  }));
  return rankedLines
    .sort((left, right) =>
      left.rank === right.rank
        ? Number(left.line > right.line) - Number(left.line < right.line)
        : left.rank - right.rank,
    )
    .map(({ line }) => line);
}

function findRank(rule: Rule | undefined): number {
  return rule === undefined ? ruleKinds.length : ruleKinds.indexOf(rule.kind);
}

/** Formats a change as one line of text for people. */
export function formatChange(change: Change): string {
  const time = new Date(change.at).toISOString();
  const size = `+${change.added.length} -${change.removed.length}`;
  return `${change.version}  ${time}  ${size}  ${change.requester}: ${change.reason}  (${change.changeId})`;
}

/** Formats a difference as text for people, with one line per rule. */
export function formatDifference(difference: {
  readonly added: readonly string[];
  readonly removed: readonly string[];
}): string {
  return [
    ...sortRuleLines(difference.removed).map(line => `- ${line}`),
    ...sortRuleLines(difference.added).map(line => `+ ${line}`),
  ].join('\n');
}
