import type { ProgramStage } from '../../programs/programStage.js';

/** Most urgent rank that is used; 0 is left to the operator of the engines. */
const MOST_URGENT_RANK = 1;
/** Least urgent rank that engines know. */
const LEAST_URGENT_RANK = 9;
/** Stages from the most to the least urgent. */
const stages: readonly ProgramStage[] = ['in-progress', 'starting', 'overdue'];

/** What the urgency of a request follows from. */
export interface UrgencyFacts {
  /** Priority that the operator gave to the request; 0 is the highest. */
  readonly priority: number;
  /** Lowest priority that the operator uses; the ranks are divided among all priorities up to it. */
  readonly lowestPriority: number;
  readonly stage: ProgramStage;
}

/**
 * Computes the rank by which engines order their queues, from 0 (most urgent) to 9. Under a burst of
 * program starts, turns of programs in progress go first among those of the same priority: only a
 * complete program is of use to its caller, and one that waits with most of its turns done wastes them.
 * Programs that are past their deadline come last. The priority of the operator comes before the stage.
 *
 * @example
 * computeEngineUrgency({ lowestPriority: 1, priority: 1, stage: 'in-progress' }); // 4
 */
export function computeEngineUrgency({ lowestPriority, priority, stage }: UrgencyFacts): number {
  const ranks = LEAST_URGENT_RANK - MOST_URGENT_RANK + 1;
  const ranksPerPriority = Math.min(
    stages.length,
    Math.max(1, Math.floor(ranks / (lowestPriority + 1))),
  );
  const rankOfStage = Math.min(ranksPerPriority - 1, stages.indexOf(stage));
  return Math.min(LEAST_URGENT_RANK, MOST_URGENT_RANK + priority * ranksPerPriority + rankOfStage);
}
