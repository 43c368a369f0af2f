import type { Brand, ProgramId, WorkspaceName } from '@zincring/core';

/** Identifier of an item of work, unique within its queue. */
export type WorkId = Brand<string, 'WorkId'>;

/** Work that waits for an upstream. Times are in milliseconds on the monotonic clock. */
export interface QueueItem {
  readonly id: WorkId;
  readonly workspace: WorkspaceName;
  /** `undefined` for a request outside programs. */
  readonly program: ProgramId | undefined;
  /** Number of tokens that the work is expected to compute; 1 or more. */
  readonly estimatedTokens: number;
  /** Number of tokens that the program has been served so far. */
  readonly attainedTokens: number;
  /** Time by which the work has to start; `undefined` for none. */
  readonly deadline: number | undefined;
}

/** Outcome of a push. */
export type PushOutcome = 'accepted' | 'duplicate' | 'queue-full' | 'workspace-full';

/**
 * Whether a workspace has recently been served less than its share, compared with those that
 * compete.
 */
export type ShareStanding = 'at-share' | 'below-share';

/** Returns whether an item can start now; it must not change the queue. */
export type RunnablePredicate<Item extends QueueItem> = (
  item: Item,
  standing: ShareStanding,
) => boolean;

/** Queue of the work of one service within one instance. */
export interface WorkQueue<Item extends QueueItem> {
  /** Number of waiting items. */
  readonly size: number;
  /** Adds an item. */
  push(item: Item, now: number): PushOutcome;
  /** Removes and returns the first item in order that can run; the search is bounded. */
  pop(now: number, canRun: RunnablePredicate<Item>): Item | undefined;
  /** Removes a waiting item whose caller has disconnected or whose deadline has passed. */
  remove(id: WorkId): Item | undefined;
  /** Replaces the estimated cost of a popped item by its actual use. */
  settle(id: WorkId, usedTokens: number): void;
  /** Charges a workspace for tokens that other instances served to it. */
  observeRemoteUse(workspace: WorkspaceName, tokens: number): void;
}
