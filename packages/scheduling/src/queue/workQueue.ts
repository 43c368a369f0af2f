import type { Brand, ProgramId, WorkspaceName } from '@zincring/core';

/** Identifier of a piece of queued work, unique within its queue. */
export type WorkId = Brand<string, 'WorkId'>;

/** Work that waits for an upstream. Times are monotonic milliseconds. */
export interface QueueItem {
  readonly id: WorkId;
  readonly workspace: WorkspaceName;
  /** `undefined` for a request outside programs. */
  readonly program: ProgramId | undefined;
  /** Tokens that the work is expected to compute; 1 or more. */
  readonly estimatedTokens: number;
  /** Tokens that the program was served before. */
  readonly attainedTokens: number;
  /** Time by which the work has to start, if any. */
  readonly deadline: number | undefined;
}

/** What became of a push. */
export type PushOutcome = 'accepted' | 'duplicate' | 'queue-full' | 'workspace-full';

/** Whether a workspace has had less than its share of late, compared with those that compete. */
export type ShareStanding = 'at-share' | 'below-share';

/** Decides whether an item can start right now; it must not change the queue. */
export type RunnablePredicate<Item extends QueueItem> = (
  item: Item,
  standing: ShareStanding,
) => boolean;

/** Orders the work of one service within one instance. */
export interface WorkQueue<Item extends QueueItem> {
  /** Number of items that wait. */
  readonly size: number;
  /** Adds an item. */
  push(item: Item, now: number): PushOutcome;
  /** Takes the first item in order that can run; the search is bounded. */
  pop(now: number, canRun: RunnablePredicate<Item>): Item | undefined;
  /** Removes an item that waits, when its caller has gone or its deadline has passed. */
  remove(id: WorkId): Item | undefined;
  /** Replaces the estimate of an item that was popped by what it used. */
  settle(id: WorkId, usedTokens: number): void;
  /** Counts tokens that other instances served to a workspace. */
  observeRemoteUse(workspace: WorkspaceName, tokens: number): void;
}
