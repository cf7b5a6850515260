/**
 * Rendezvous hashing: all entries compute the same ranking of upstreams for a key without communicating.
 */
import MurmurHash3 from 'imurmurhash'

/**
 * Weight of a node for a key.
 *
 * @param key - adapter or idempotency key
 * @param node - upstream
 * @returns 32-bit number; the highest wins
 */
export function rendezvousWeight (key: string, node: string): number {
  return new MurmurHash3(key).hash('\u0000').hash(node).result()
}

/**
 * Ranks nodes for a key.
 *
 * @param key - adapter or idempotency key
 * @param nodes - upstream names
 * @returns the names, highest weight first; the removal of a node leaves the order of the others unchanged
 */
export function rendezvousOrder (key: string, nodes: readonly string[]): readonly string[] {
  return nodes
    .map(node => ({ node, weight: rendezvousWeight(key, node) }))
    .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
    .map(ranked => ranked.node)
}
