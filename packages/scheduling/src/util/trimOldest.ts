/** Share of a map that one trim frees, so that its cost is spread over as many additions. */
const FREED_SHARE = 1 / 16;

/**
 * Deletes the oldest entries of a map that has grown beyond its bound; costs constant time,
 * amortised. A map keeps the order of insertion.
 *
 * @example
 * trimOldest(recentlyUsed, 10_000);
 */
export function trimOldest<Key>(map: Map<Key, unknown>, maxSize: number): void {
  if (map.size <= maxSize) {
    return;
  }
  const kept = maxSize - Math.floor(maxSize * FREED_SHARE);
  for (const key of map.keys()) {
    if (map.size <= kept) {
      return;
    }
    map.delete(key);
  }
}
