/** What the priority of a call at an engine depends on. Times are monotonic milliseconds. */
export interface EnginePriorityInput {
  /** Tokens that the program was served before. */
  readonly attainedTokens: number;
  /** When the call entered the instance. */
  readonly enqueuedAt: number;
  readonly deadline: number | undefined;
  /** Whether the workspace has had less than its share of late. */
  readonly isBelowShare: boolean;
  readonly now: number;
}

/** Attained tokens of the highest class of priority. */
const FIRST_CLASS_TOKENS = 4_096;
/** The lowest class of priority. */
const LAST_CLASS = 8;
/** Waiting that lifts a call by one class, in milliseconds. */
const MILLISECONDS_PER_CLASS = 2_000;
/** Time before its deadline at which a call gets the highest class, in milliseconds. */
const DEADLINE_SLACK_MILLISECONDS = 2_000;

/**
 * Number that tells an engine which calls to run first; lower runs first. Classes of attained
 * service double in width, workspaces below their share come before all classes, and waiting lifts a call, so long programs are not starved. Since an
 * engine sees calls of many instances, the number depends on durations alone and on no clock.
 *
 * @returns a whole number from 0 to 9
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
  const serviceClass = Math.ceil(Math.log2(Math.max(1, attainedTokens / FIRST_CLASS_TOKENS)));
  const lift = Math.floor(Math.max(0, now - enqueuedAt) / MILLISECONDS_PER_CLASS);
  return 1 + Math.max(0, Math.min(LAST_CLASS, serviceClass) - lift);
}
