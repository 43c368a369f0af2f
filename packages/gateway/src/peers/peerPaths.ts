/** Paths of the calls between instances; each is a POST with a JSON body. */
export const PEER_PATHS = {
  acquireCredit: '/acquire-credit',
  acquirePermit: '/acquire-permit',
  reportRate: '/report-rate',
  reserveTokens: '/reserve-tokens',
  settleTokens: '/settle-tokens',
} as const;
