/**
 * Fraction of the maximum size that one trim frees, which amortises its cost over later additions.
 */
const FREED_FRACTION = 1 / 16;

/**
 * Deletes the entries inserted first from a map that exceeds its maximum size, in amortised
 * constant time. Relies on the insertion order of a `Map`.
 *
 * @example
 * trimOldest(recentlyUsed, 10_000);
 */
export function trimOldest<Key>(map: Map<Key, unknown>, maximumSize: number): void {
  if (map.size <= maximumSize) {
    return;
  }
  const targetSize = maximumSize - Math.floor(maximumSize * FREED_FRACTION);
  for (const key of map.keys()) {
    if (map.size <= targetSize) {
      return;
    }
    map.delete(key);
  }
}
