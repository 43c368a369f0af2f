/** Paths of the calls between instances; each is a POST with a JSON body. */
export const PEER_PATHS = {
  acquireCredit: '/acquire-credit',
  acquirePermit: '/acquire-permit',
  reportRate: '/report-rate',
  reserveTokens: '/reserve-tokens',
  settleTokens: '/settle-tokens',
} as const;

/** Status of the reply to a message that cannot be read. */
export const STATUS_UNREADABLE = 400;
/** Status of the reply to a path that this build does not serve. */
export const STATUS_UNKNOWN_PATH = 404;

/**
 * Whether a status says that the build of another instance does not serve a path. Builds up to 1a7a5bb
 * reply to such a path as to a message that they cannot read.
 *
 * @example
 * isUnknownPath(404); // true
 */
export function isUnknownPath(status: number | undefined): boolean {
  return status === STATUS_UNKNOWN_PATH || status === STATUS_UNREADABLE;
}
