/** Exit codes of zincringctl; docs/operators/zincringctl.md shows the same table. */
export const exitCodes = {
  /** Done. */
  done: 0,
  /** An unexpected fault, or a command line that is not understood. */
  failed: 1,
  /** Rules, settings or names that are not valid; nothing was changed. */
  invalid: 2,
  /** Another change was accepted first; nothing was changed. */
  conflict: 3,
  /** The platform gave no answer; the change id tells later whether the change was accepted. */
  unavailable: 4,
  /** The change was accepted, but is not in force on every live instance yet. */
  notInForce: 5,
  /** There is no such program, key or version. */
  notFound: 6,
} as const;

/** An exit code of zincringctl. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
