import type { ProgramId, WorkspaceName } from '@zincring/core';
import type { QueueItem, WorkId } from '@zincring/scheduling';

/** Builds a queue item; numbers stand for names. */
export function queueItem(
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

/** A predicate under which everything can run. */
export const canRunAll = (): boolean => true;
