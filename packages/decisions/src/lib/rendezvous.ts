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

/** A node of a weighted order. */
export interface WeightedNode {
  readonly node: string
  /** Share of the keys relative to the other nodes; above 0. */
  readonly weight: number
}

const hashValues = 2 ** 32

/** Score of a node; the lowest wins. The half keeps `u` above 0 and below 1 for every hash. */
export function weightedScore (hash: number, weight: number): number { return -Math.log((hash + 0.5) / hashValues) / weight }

/**
 * Ranks nodes for a key, each first for a share of the keys that follows its weight.
 *
 * The score `-ln(u) / weight` of a uniform `u` is exponentially distributed with the rate `weight`, and the node with the
 * smallest of such scores is each node with a chance in proportion to its weight. A node's score depends on its own
 * weight alone, so a change of one weight moves only keys to or from that node.
 *
 * @param key - adapter or idempotency key
 * @param nodes - nodes and their weights
 * @returns the names, best first; equal weights give the order of {@link rendezvousOrder}
 */
export function weightedRendezvousOrder (key: string, nodes: readonly WeightedNode[]): readonly string[] {
  return nodes
    .map(({ node, weight }) => ({ node, score: weightedScore(rendezvousWeight(key, node), weight) }))
    .sort((a, b) => a.score - b.score || (a.node < b.node ? -1 : 1))
    .map(ranked => ranked.node)
}
