/**
 * Guards of what entries without sidecars do together: usage limits, retry budgets, quarantine of requests.
 */
import type { Guard } from './guard.js'

/** Guards of what entries without sidecars do together: usage limits, retry budgets, quarantine of requests. */
export const sharedGuards: readonly Guard[] = [
  {
    guarantee: 'quarantine: before a request is quarantined, entries that have answered it recently are asked',
    file: 'packages/direct/dist/lib/quarantine/quarantine-coordinator.js',
    find: 'this._quarantine.recordAnswered(key, this._now - age);',
    replace: '',
    also: { file: 'packages/decisions/dist/lib/request-quarantine.js', find: ' || (this.answeredAt(request, now) ?? -Infinity) > terminatedSince)', replace: ')' },
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'a check that all callers send'
  },
  {
    guarantee: 'quarantine: a planned termination does not count as a crash',
    file: 'packages/direct/dist/lib/quarantine/termination-detector.js',
    find: 'if (upstream.record.state === \'draining\')',
    replace: 'if (false)',
    also: { file: 'packages/direct/dist/lib/quarantine/termination-detector.js', find: 'if (upstream.record.state !== \'draining\')', replace: 'if (true)' },
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'servers that leave terminate while requests still run there'
  },
  {
    guarantee: 'quarantine: quarantined requests are recorded in the store',
    file: 'packages/direct/dist/lib/quarantine/quarantine-coordinator.js',
    find: 'await store.commit(',
    replace: 'await (async () => ({ isErr: () => false, value: { kind: "lost" } }))(',
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'an entry that has seen none of the terminations'
  },
  {
    guarantee: 'quarantine: terminations are reported by prompt parts',
    file: 'packages/direct/dist/lib/quarantine/part-coordinator.js',
    find: 'const parts = groupByPart(lost);',
    replace: 'const parts = [];',
    feature: 'platform/src/test/crashing-parts.feature',
    scenario: 'a part that is in many requests'
  },
  {
    guarantee: 'quarantine: parts of lost requests are compared with each other',
    file: 'packages/decisions/dist/lib/part-suspicion.js',
    find: 'if (cost < best.cost)',
    replace: 'if (best.parts.length === 0)',
    feature: 'packages/decisions/src/test/part-suspicion.feature',
    scenario: 'a part of sound requests that were lost at each termination'
  },
  {
    guarantee: 'quarantine: terminations at few moments do not count against a part',
    file: 'packages/decisions/dist/lib/part-suspicion.js',
    find: 'const minMoments = 3',
    replace: 'const minMoments = 1',
    feature: 'packages/decisions/src/test/part-suspicion.feature',
    scenario: 'engines that terminate for other reasons'
  },
  {
    guarantee: 'quarantine: an answer clears a request of earlier terminations only',
    file: 'packages/decisions/dist/lib/request-quarantine.js',
    find: 'termination.at <= (this.answeredAt(request, now) ?? -Infinity)',
    replace: 'this.answeredAt(request, now) !== undefined',
    feature: 'platform/src/test/ending-requests.feature',
    scenario: 'harmless until a moment ago'
  },
  {
    guarantee: 'quarantine: an answer that may have been cut short clears no part',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: 'if (!this._isFramed)\n',
    replace: 'if (false)\n',
    feature: 'platform/src/test/crashing-parts.feature',
    scenario: 'answers of terminating engines that look complete'
  },
  {
    guarantee: 'quarantine: after it one entry admits one request at a time, and one termination is enough',
    file: 'packages/direct/dist/lib/quarantine/quarantine-coordinator.js',
    find: 'if (prober !== this._options.node || this._now - (this._probedAt.get(key) ?? -Infinity) < probeInterval)',
    replace: 'if (false)',
    also: { file: 'packages/direct/dist/lib/quarantine/quarantine-coordinator.js', find: 'this._countOnProbation(suspectKey({ kind: \'part\', id }), upstream, at);', replace: '' },
    feature: 'platform/src/test/crashing-parts.feature',
    scenario: 'a part whose quarantine is over'
  },
  {
    guarantee: 'limits of upstreams: each send counts against the upstream\'s request limit',
    file: 'packages/direct/dist/lib/placing/notice-coordinator.js',
    find: 'return this._limits.admit(upstream.id, 1);',
    replace: 'return { kind: \'admitted\', refund: () => { } };',
    feature: 'platform/src/test/notices.feature',
    scenario: 'upstreams that announce a request limit'
  },
  {
    guarantee: 'limits of upstreams: the end of a limit reaches all entries',
    file: 'packages/direct/dist/lib/usage/usage-coordinator.js',
    find: 'this._limits.size > 0 || this._options.clock.now() - this._endedAt < reportAfterEnd',
    replace: 'this._limits.size > 0',
    feature: 'platform/src/test/notices.feature',
    scenario: 'servers withdraw their limits while the allocator gets no requests'
  },
  {
    guarantee: 'usage limits: entries that were listed recently are counted',
    file: 'packages/direct/dist/lib/peers/peer-table.js',
    find: 'this._entries.size + this._left.size',
    replace: 'this._entries.size',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'entries that are gone from each other'
  },
  {
    guarantee: 'retry budget: entries that were listed recently are counted',
    file: 'packages/direct/dist/lib/peers/peer-table.js',
    find: 'this._entries.size + this._left.size',
    replace: 'this._entries.size',
    feature: 'packages/direct/src/test/peers.feature',
    scenario: 'entries whose leases have lapsed'
  },
  {
    guarantee: 'usage limits: an entry detects soon that it is cut off',
    file: 'packages/direct/dist/lib/usage/usage-coordinator.js',
    find: 'asked *= 2',
    replace: 'asked *= 1',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'an entry that is cut off from many others'
  },
  {
    guarantee: 'long answers between entries are compressed',
    file: 'packages/direct/dist/lib/peers/serve-peers.js',
    find: 'plain.length >= compressFrom',
    replace: 'false',
    feature: 'packages/direct/src/test/peers.feature',
    scenario: 'a large configuration over a slow link'
  },
  {
    guarantee: 'limits of upstreams: upstreams that failed recently are tried before callers are refused',
    file: 'packages/direct/dist/lib/placing/placer.js',
    find: 'if (!isLimited || ',
    replace: 'if (true || ',
    feature: 'platform/src/test/notices.feature',
    scenario: 'a server at its limit, and one that failed recently'
  },
  {
    guarantee: 'usage limits: an entry without a configuration does not allocate',
    file: 'packages/direct/dist/lib/usage/usage-coordinator.js',
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
  },
  {
    guarantee: 'engines: entries of a build without strengths do not hand engines back and forth',
    file: 'packages/decisions/dist/lib/entry-strength.js',
    find: 'isMixed ? undefined',
    replace: 'false ? undefined',
    feature: 'packages/decisions/src/test/entry-strength.feature',
    scenario: 'entries of the build before hand engines back'
  },
  {
    guarantee: 'engines: a bound on what the loss of one entry takes',
    file: 'packages/decisions/dist/lib/engine-assignment.js',
    find: 'receiver.held < limit &&',
    replace: '',
    feature: 'packages/decisions/src/test/entry-strength.feature',
    scenario: 'engines move in circles between uneven entries'
  },
  {
    guarantee: 'load requests of other entries are checked',
    file: 'packages/direct/dist/lib/engines/load-request-messages.js',
    find: 'isUpTo(value.tokens, maxPromptTokens)',
    replace: 'true',
    feature: 'packages/direct/src/test/load-request-messages.feature',
    scenario: 'a number that is none'
  },
  {
    guarantee: 'operators: the state of a draining upstream is not hidden by an older view',
    file: 'packages/cli/dist/lib/queries/upstream-report.js',
    find: '(draining ?? row).state',
    replace: 'row.state',
    feature: 'packages/cli/src/test/entry-views.feature',
    scenario: 'an upstream that leaves'
  }
]
