/** Number of values of a hash. */
const HASH_VALUES = 2 ** 32;
/** Steps in which weights differ, for each doubling: instances that know slightly different things agree. */
const STEPS_PER_DOUBLING = 2;

/**
 * Scores a replica for a key; the lowest score wins. With equal slowness that is the replica with the
 * lowest hash; otherwise each gets a share of the keys in inverse proportion to its slowness, and when
 * the slowness of one changes, only keys move that it gains or loses.
 *
 * @param hash hash of the key and the replica, below 2^32
 * @param slowness factor on the time that the replica takes
 * @example
 * scoreRendezvous(hash32(`${session}\n${replica}`), 2); // wins half as often as with 1
 */
export function scoreRendezvous(hash: number, slowness: number): number {
  const score = -Math.log1p(-(hash + 0.5) / HASH_VALUES);
  return slowness === 1 ? score : score * roundSlowness(slowness);
}

function roundSlowness(slowness: number): number {
  return 2 ** (Math.round(Math.log2(slowness) * STEPS_PER_DOUBLING) / STEPS_PER_DOUBLING);
}
