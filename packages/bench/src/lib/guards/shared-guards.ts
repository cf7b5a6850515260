/**
 * Guards of what entries without sidecars do together: limits, budgets, requests held back.
 */
import type { Guard } from './guard.js'

/** Guards of what entries without sidecars do together: limits, budgets, requests held back. */
export const sharedGuards: readonly Guard[] = [
  {
    promise: 'requests held back: entries that answered one are asked first',
    file: 'packages/direct/dist/lib/quarantine-desk.js',
    find: 'if (answers.flat().includes(request))',
    replace: 'if (false)',
    also: { file: 'packages/decisions/dist/lib/request-quarantine.js', find: 'if (this.answeredLately(request, now))\n            return false;\n        const isNew', replace: 'const isNew' },
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'a check that all callers send'
  },
  {
    promise: 'requests held back: a planned end is no crash',
    file: 'packages/direct/dist/lib/end-detector.js',
    find: 'if (upstream.record.state === \'draining\')',
    replace: 'if (false)',
    also: { file: 'packages/direct/dist/lib/end-detector.js', find: 'if (upstream.record.state !== \'draining\')', replace: 'if (true)' },
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'servers that leave end with what they still run'
  },
  {
    promise: 'requests held back: they stand in the store',
    file: 'packages/direct/dist/lib/quarantine-desk.js',
    find: 'await store.commit(',
    replace: 'await (async () => ({ isErr: () => false, value: { kind: "lost" } }))(',
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'an entry that has seen none of the ends'
  },
  {
    promise: 'limits of upstreams: each send takes one request of what the upstream takes',
    file: 'packages/direct/dist/lib/notice-desk.js',
    find: 'return this._limits.admit(upstream.id, 1);',
    replace: 'return { kind: \'admitted\', refund: () => { } };',
    feature: 'platform/src/test/notices.feature',
    scenario: 'upstreams that name a request limit'
  },
  {
    promise: 'limits of upstreams: their end reaches all entries',
    file: 'packages/direct/dist/lib/usage-desk.js',
    find: 'this._limits.size > 0 || this._options.clock.now() - this._endedAt < reportAfterEnd',
    replace: 'this._limits.size > 0',
    feature: 'platform/src/test/notices.feature',
    scenario: 'a server names no limit any more, and the entry that counts'
  },
  {
    promise: 'limits over all entries: entries that were listed lately count',
    file: 'packages/direct/dist/lib/peer-table.js',
    find: 'this._entries.size + this._left.size',
    replace: 'this._entries.size',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'entries that are gone from each other'
  },
  {
    promise: 'retry budget: entries that were listed lately count',
    file: 'packages/direct/dist/lib/peer-table.js',
    find: 'this._entries.size + this._left.size',
    replace: 'this._entries.size',
    feature: 'packages/direct/src/test/peers.feature',
    scenario: 'entries whose leases have lapsed'
  },
  {
    promise: 'limits over all entries: who is cut off finds out soon',
    file: 'packages/direct/dist/lib/usage-desk.js',
    find: 'asked *= 2',
    replace: 'asked *= 1',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'an entry that is cut off from many others'
  },
  {
    promise: 'long answers between entries are compressed',
    file: 'packages/direct/dist/lib/serve-peers.js',
    find: 'plain.length >= compressFrom',
    replace: 'false',
    feature: 'packages/direct/src/test/peers.feature',
    scenario: 'a large configuration over a slow link'
  },
  {
    promise: 'limits of upstreams: those that failed lately are tried before callers are refused',
    file: 'packages/direct/dist/lib/placer.js',
    find: 'if (!isLimited || ',
    replace: 'if (true || ',
    feature: 'platform/src/test/notices.feature',
    scenario: 'a server at its limit, and one that failed lately'
  }
]
