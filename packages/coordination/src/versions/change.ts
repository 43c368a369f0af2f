import type { Result } from '@zincring/core';

import { Err, Ok } from '@zincring/core';

/** Who asked for a change, why, and what identifies it. */
export interface ChangeOrigin {
  /** Unique identifier of the change, chosen by who asks for it; asking again is harmless. */
  readonly changeId: string;
  /** Who asked for it. */
  readonly requester: string;
  /** Why. */
  readonly reason: string;
  /** Wall-clock time, in milliseconds since 1970. */
  readonly at: number;
}

/** A change that has yet to be accepted. */
export interface ProposedChange extends ChangeOrigin {
  /** Lines taken out. */
  readonly removed: readonly string[];
  /** Lines put in. */
  readonly added: readonly string[];
}

/** One accepted change of a versioned document, with its audit record. */
export interface Change extends ProposedChange {
  /** Version that the change made. */
  readonly version: number;
}

/** A whole version. */
export interface Snapshot {
  readonly version: number;
  readonly lines: readonly string[];
}

/** What a reader of a versioned document has. */
export interface UpdateRequest {
  /** Version that the reader has. */
  readonly after: number;
  /** Version up to which the reader has seen what there is; `after` where it is left out. */
  readonly known?: number;
}

/** What brings a reader up to a newer version: perhaps a snapshot, then the changes after it. */
export interface Update {
  /** Where to begin; without one the changes follow the version that the reader has. */
  readonly snapshot: Snapshot | undefined;
  /** The newest version that the source of the update knows. */
  readonly newest: number;
  /** Oldest first, without a gap. */
  readonly changes: readonly Change[];
}

/**
 * Applies changes to a set of lines.
 *
 * @returns the lines, or the version whose change does not fit
 * @example
 * applyChanges(new Set(['a']), [{ added: ['b'], removed: ['a'], … }]); // Set(['b'])
 */
export function applyChanges(
  lines: ReadonlySet<string>,
  changes: readonly Change[],
): Result<ReadonlySet<string>, number> {
  const result = new Set(lines);
  for (const change of changes) {
    const isKnown = change.removed.every(line => result.delete(line));
    if (!isKnown) {
      return Err(change.version);
    }
    change.added.forEach(line => result.add(line));
  }
  return Ok(result);
}
