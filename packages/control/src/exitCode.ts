/** Exit codes of zincringctl; docs/operators/zincringctl.md shows the same table. */
export const exitCodes = {
  /** The command succeeded. */
  done: 0,
  /** An unexpected failure occurred, or the command line is invalid. */
  failed: 1,
  /** Rules, settings or names are invalid; nothing was changed. */
  invalid: 2,
  /** Another change was accepted first; nothing was changed. */
  conflict: 3,
  /**
   * The platform did not respond. Repeating a change with the same change id shows whether it was
   * accepted.
   */
  unavailable: 4,
  /** The change was accepted but is not yet in force on every live instance. */
  notInForce: 5,
  /** The named program, key or version does not exist. */
  notFound: 6,
} as const;

/** Exit code of zincringctl. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
