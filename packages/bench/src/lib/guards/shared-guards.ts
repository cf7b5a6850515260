/**
 * Guards of what entries without sidecars do together: usage limits, retry budgets, quarantine of requests.
 */
import type { Guard } from './guard.js'

/** Guards of what entries without sidecars do together: usage limits, retry budgets, quarantine of requests. */
export const sharedGuards: readonly Guard[] = [
  {
    guarantee: 'quarantine: before a request is quarantined, entries that have answered it recently are asked',
    file: 'packages/direct/dist/lib/quarantine-coordinator.js',
    find: 'this._quarantine.recordAnswered(key, this._now - age);',
    replace: '',
    also: { file: 'packages/decisions/dist/lib/request-quarantine.js', find: ' || (this.answeredAt(request, now) ?? -Infinity) > terminatedSince)', replace: ')' },
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'a check that all callers send'
  },
  {
    guarantee: 'quarantine: a planned termination does not count as a crash',
    file: 'packages/direct/dist/lib/termination-detector.js',
    find: 'if (upstream.record.state === \'draining\')',
    replace: 'if (false)',
    also: { file: 'packages/direct/dist/lib/termination-detector.js', find: 'if (upstream.record.state !== \'draining\')', replace: 'if (true)' },
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'servers that leave terminate while requests still run there'
  },
  {
    guarantee: 'quarantine: quarantined requests are recorded in the store',
    file: 'packages/direct/dist/lib/quarantine-coordinator.js',
    find: 'await store.commit(',
    replace: 'await (async () => ({ isErr: () => false, value: { kind: "lost" } }))(',
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'an entry that has seen none of the terminations'
  },
  {
    guarantee: 'limits of upstreams: each send counts against the upstream\'s request limit',
    file: 'packages/direct/dist/lib/notice-coordinator.js',
    find: 'return this._limits.admit(upstream.id, 1);',
    replace: 'return { kind: \'admitted\', refund: () => { } };',
    feature: 'platform/src/test/notices.feature',
    scenario: 'upstreams that announce a request limit'
  },
  {
    guarantee: 'limits of upstreams: the end of a limit reaches all entries',
    file: 'packages/direct/dist/lib/usage-coordinator.js',
    find: 'this._limits.size > 0 || this._options.clock.now() - this._endedAt < reportAfterEnd',
    replace: 'this._limits.size > 0',
    feature: 'platform/src/test/notices.feature',
    scenario: 'servers withdraw their limits while the allocator gets no requests'
  },
  {
    guarantee: 'usage limits: entries that were listed recently are counted',
    file: 'packages/direct/dist/lib/peer-table.js',
    find: 'this._entries.size + this._left.size',
    replace: 'this._entries.size',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'entries that are gone from each other'
  },
  {
    guarantee: 'retry budget: entries that were listed recently are counted',
    file: 'packages/direct/dist/lib/peer-table.js',
    find: 'this._entries.size + this._left.size',
    replace: 'this._entries.size',
    feature: 'packages/direct/src/test/peers.feature',
    scenario: 'entries whose leases have lapsed'
  },
  {
    guarantee: 'usage limits: an entry detects soon that it is cut off',
    file: 'packages/direct/dist/lib/usage-coordinator.js',
    find: 'asked *= 2',
    replace: 'asked *= 1',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'an entry that is cut off from many others'
  },
  {
    guarantee: 'long answers between entries are compressed',
    file: 'packages/direct/dist/lib/serve-peers.js',
    find: 'plain.length >= compressFrom',
    replace: 'false',
    feature: 'packages/direct/src/test/peers.feature',
    scenario: 'a large configuration over a slow link'
  },
  {
    guarantee: 'limits of upstreams: upstreams that failed recently are tried before callers are refused',
    file: 'packages/direct/dist/lib/placer.js',
    find: 'if (!isLimited || ',
    replace: 'if (true || ',
    feature: 'platform/src/test/notices.feature',
    scenario: 'a server at its limit, and one that failed recently'
  },
  {
    guarantee: 'usage limits: an entry without a configuration does not allocate',
    file: 'packages/direct/dist/lib/usage-coordinator.js',
    find: '!isConfigured()',
    replace: 'false',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'an allocator that has started and has no configuration yet'
  },
  {
    guarantee: 'usage limits: allocators share what they keep of an entry that reports to several of them',
    file: 'packages/decisions/dist/lib/usage-allocator.js',
    find: 'others === 0 ? most',
    replace: 'true ? most',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'entries that report to several allocators by turns'
  }
]
