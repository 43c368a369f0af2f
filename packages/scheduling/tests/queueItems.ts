import type { ProgramId, WorkspaceName } from '@zincring/core';
import type { QueueItem, WorkId } from '@zincring/scheduling';

/** Creates a queue item; the names of its program and workspace are made from the numbers. */
export function createQueueItem(
  id: number,
  workspace: number,
  options: Partial<Pick<QueueItem, 'attainedTokens' | 'deadline' | 'estimatedTokens'>> = {},
): QueueItem {
  return {
    attainedTokens: 0,
    deadline: undefined,
    estimatedTokens: 100,
    id: `work-${id}` as WorkId,
    program: `program-${id}` as ProgramId,
    workspace: `workspace-${workspace}` as WorkspaceName,
    ...options,
  };
}

/** Predicate for which every item can run. */
export const canRunAll = (): boolean => true;
