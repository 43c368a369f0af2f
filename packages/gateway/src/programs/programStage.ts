import type { RequestFacts } from '../callers/requestFacts.js';

/** Stage of a program at one of its turns; requests outside programs count as starting. */
export type ProgramStage = 'in-progress' | 'overdue' | 'starting';

/** Parts in the prompt of a program's first turn: a prefix shared by many programs, and the program's own input. */
const PROMPT_PARTS_OF_FIRST_TURN = 2;

/**
 * Whether the program of a request has had earlier turns, as far as the request shows.
 *
 * @example
 * hasEarlierTurns(request.facts);
 */
export function hasEarlierTurns({ previousTurn, promptParts }: RequestFacts): boolean {
  return previousTurn !== undefined || promptParts.length > PROMPT_PARTS_OF_FIRST_TURN;
}

/**
 * Finds the stage of a program from one of its requests.
 *
 * @example
 * findProgramStage(request.facts); // 'in-progress'
 */
export function findProgramStage(facts: RequestFacts): ProgramStage {
  const { programId, programRemainingMilliseconds } = facts;
  if (programRemainingMilliseconds !== undefined && programRemainingMilliseconds <= 0) {
    return 'overdue';
  }
  return programId !== undefined && hasEarlierTurns(facts) ? 'in-progress' : 'starting';
}
