/**
 * Bounds the size of maps.
 */

/** Deletes the oldest entries of a map beyond a bound. */
export function evictOldest (map: Map<string, unknown>, most: number): void {
  for (const oldest of map.keys()) {
    if (map.size <= most) return
    map.delete(oldest)
  }
}
