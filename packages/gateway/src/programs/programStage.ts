import type { RequestFacts } from '../callers/requestFacts.js';

/** Stage of a program at one of its turns; requests outside programs count as starting. */
export type ProgramStage = 'in-progress' | 'overdue' | 'starting';

/**
 * Finds the stage of a program at one of its turns.
 *
 * @param startsProgram whether no turn of the program has delivered anything yet
 * @example
 * findProgramStage(request.facts, reservation.startsProgram); // 'in-progress'
 */
export function findProgramStage(
  { programId, programRemainingMilliseconds }: RequestFacts,
  startsProgram: boolean,
): ProgramStage {
  if (programRemainingMilliseconds !== undefined && programRemainingMilliseconds <= 0) {
    return 'overdue';
  }
  return programId === undefined || startsProgram ? 'starting' : 'in-progress';
}
