/** Input of {@link enginePriority}. Times are in milliseconds on the monotonic clock. */
export interface EnginePriorityInput {
  /** Number of tokens that the program has been served so far. */
  readonly attainedTokens: number;
  /** Time at which the call entered the instance. */
  readonly enqueuedAt: number;
  readonly deadline: number | undefined;
  /** Whether the workspace has recently been served less than its share. */
  readonly isBelowShare: boolean;
  readonly now: number;
}

/** Maximum attained tokens of the first service class, which has the highest priority. */
const FIRST_CLASS_MAXIMUM_TOKENS = 4_096;
/** Number of the service class with the lowest priority. */
const LOWEST_CLASS = 8;
/** Wait that raises a call by one class, in milliseconds. */
const WAIT_MILLISECONDS_PER_CLASS = 2_000;
/** Time before its deadline at which a call gets the highest priority, in milliseconds. */
const DEADLINE_SLACK_MILLISECONDS = 2_000;

/**
 * Computes the priority of a call at an engine; lower numbers run first. Each class of attained
 * service is twice as wide as the one before. Workspaces below their share and calls close to their
 * deadline come before all classes, and waiting raises the class of a call, so long programs do not
 * starve. Since an engine gets calls from many instances, the number depends on durations only and
 * not on a clock.
 *
 * @returns an integer from 0 to 9
 * @example
 * enginePriority({
 *   attainedTokens: 9_000,
 *   deadline: undefined,
 *   enqueuedAt: now,
 *   isBelowShare: false,
 *   now,
 * }); // 3
 */
export function enginePriority(input: EnginePriorityInput): number {
  const { attainedTokens, deadline, enqueuedAt, isBelowShare, now } = input;
  if (isBelowShare) {
    return 0;
  }
  if (deadline !== undefined && deadline - now <= DEADLINE_SLACK_MILLISECONDS) {
    return 0;
  }
  const serviceClass = Math.ceil(
    Math.log2(Math.max(1, attainedTokens / FIRST_CLASS_MAXIMUM_TOKENS)),
  );
  const classesGained = Math.floor(Math.max(0, now - enqueuedAt) / WAIT_MILLISECONDS_PER_CLASS);
  return 1 + Math.max(0, Math.min(LOWEST_CLASS, serviceClass) - classesGained);
}
