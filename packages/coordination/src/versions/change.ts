import type { Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';

/** Origin of a change: its identifier, requester, reason and time. */
export interface ChangeOrigin {
  /** Unique identifier, chosen by the requester; requesting the same change again is harmless. */
  readonly changeId: string;
  /** Identity of the requester. */
  readonly requester: string;
  /** Reason that the requester gives. */
  readonly reason: string;
  /** Time of the request on the wall clock, in milliseconds since 1970. */
  readonly at: number;
}

/** Change that has not been accepted yet. */
export interface ProposedChange extends ChangeOrigin {
  /** Lines to remove. */
  readonly removed: readonly string[];
  /** Lines to add. */
  readonly added: readonly string[];
}

/** Accepted change of a versioned document, with its audit record. */
export interface Change extends ProposedChange {
  /** Version that the change made. */
  readonly version: number;
}

/** Complete content of one version. */
export interface Snapshot {
  readonly version: number;
  readonly lines: readonly string[];
}

/** State of a reader that requests an update. */
export interface UpdateRequest {
  /** Version that the reader holds. */
  readonly after: number;
  /** Newest version that the reader has seen, even if it does not hold it; `after` by default. */
  readonly known?: number;
}

/** Update of a reader to a newer version: a snapshot if needed, then the changes after it. */
export interface Update {
  /** Snapshot to start from; without one, the changes follow the version that the reader holds. */
  readonly snapshot: Snapshot | undefined;
  /** Newest version that the source of the update knows. */
  readonly newest: number;
  /** Changes to apply, oldest first and without a gap. */
  readonly changes: readonly Change[];
}

/**
 * Applies changes to a set of lines.
 *
 * @returns the resulting lines, or the version of the first change that removes an absent line
 * @example
 * applyChanges(new Set(['a']), [{ added: ['b'], removed: ['a'], … }]); // Set(['b'])
 */
export function applyChanges(
  lines: ReadonlySet<string>,
  changes: readonly Change[],
): Result<ReadonlySet<string>, number> {
  const result = new Set(lines);
  for (const change of changes) {
    const hasAllLines = change.removed.every(line => result.delete(line));
    if (!hasAllLines) {
      return Err(change.version);
    }
    change.added.forEach(line => result.add(line));
  }
  return Ok(result);
}
