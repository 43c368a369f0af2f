/** Paths of the calls between instances; each is a POST with a JSON body. */
export const PEER_PATHS = {
  acquireCredit: '/acquire-credit',
  reserveTokens: '/reserve-tokens',
  settleTokens: '/settle-tokens',
} as const;
