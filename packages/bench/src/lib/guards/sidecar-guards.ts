/**
 * Guards of the deployment with sidecars.
 */
import type { Guard } from './guard.js'

/** Guards of the deployment with sidecars. */
export const sidecarGuards: readonly Guard[] = [
  {
    guarantee: 'right adapter: the model named in the engine\'s answer is checked',
    file: 'packages/engine/dist/lib/engine-client.js',
    find: '!line.includes(this._modelMark) && !namesModel(eventJson(line), this._call.engineName)',
    replace: 'false',
    feature: 'packages/bench/src/test/right-adapter.feature',
    scenario: 'the engine answers for another adapter'
  },
  {
    guarantee: 'right adapter: a successor serves only from names that its predecessor can\'t unload',
    file: 'packages/sidecar/dist/lib/adapter-slots.js',
    find: '(checksFencing() && this._announced)',
    replace: 'true',
    feature: 'packages/bench/src/test/right-adapter.feature',
    scenario: 'a replaced sidecar resumes'
  },
  {
    guarantee: 'no eviction in use: pinned slots are not evicted',
    file: 'packages/decisions/dist/lib/slot-table.js',
    find: 'slot.state !== \'loaded\' || slot.pins > 0',
    replace: 'slot.state !== \'loaded\'',
    feature: 'packages/decisions/src/test/upstream-plan.feature',
    scenario: 'an adapter in use is never unloaded'
  },
  {
    guarantee: 'no eviction in use: a cancelled request stays pinned until the engine has stopped it',
    file: 'packages/sidecar/dist/lib/request-dispatcher.js',
    find: 'handle.cancel().then(() => this._finished(run, false), () => this._finished(run, false));',
    replace: 'handle.cancel().catch(() => {}); this._finished(run, false);',
    feature: 'packages/bench/src/test/eviction.feature',
    scenario: 'a slot is needed while its request is being cancelled'
  },
  {
    guarantee: 'whole answers: chunks are delivered once and in order',
    file: 'packages/decisions/dist/lib/sequencer.js',
    find: 'if (index < this._next || this._held.has(index))',
    replace: 'if (false)',
    feature: 'packages/decisions/src/test/sequencer.feature',
    scenario: 'any order and any repeats'
  },
  {
    guarantee: 'whole answers: an answer ends only after every chunk',
    file: 'packages/engine/dist/lib/engine-client.js',
    find: 'if (this._resumed)',
    replace: 'if (false)',
    feature: 'packages/bench/src/test/whole-answers.feature',
    scenario: 'a stream that the engine has lost'
  },
  {
    guarantee: 'no request given up: idempotent requests have time to go on over a new channel',
    file: 'packages/entry/dist/lib/channel-client.js',
    find: 'this._startGrace();',
    replace: 'this._startGrace(); this._failRepeatable();',
    feature: 'packages/bench/src/test/given-up.feature',
    scenario: 'the channel breaks while completions wait'
  },
  {
    guarantee: 'no request given up: a sidecar that shuts down waits for entries that connect again',
    file: 'packages/sidecar/dist/lib/sidecar.js',
    find: '[...this._sessions.values()].every',
    replace: '[...this._connections.values()].every',
    feature: 'packages/bench/src/test/given-up.feature',
    scenario: 'a sidecar shuts down while its entry connects again'
  },
  {
    guarantee: 'no request given up: an entry that has stopped refuses what it reads from then on',
    file: 'packages/entry/dist/lib/entry.js',
    find: 'if (this._stopped)',
    replace: 'if (false)',
    feature: 'packages/bench/src/test/given-up.feature',
    scenario: 'a request that is read while its entry ends'
  },
  {
    guarantee: 'no request given up: a stream is resumed as long as it advances',
    file: 'packages/engine/dist/lib/engine-client.js',
    find: 'if (this._events.delivered > this._deliveredBefore)',
    replace: 'if (false)',
    feature: 'packages/bench/src/test/given-up.feature',
    scenario: 'a stream whose connection breaks again and again'
  },
  {
    guarantee: 'whole answers: chunks that the entry lacks are sent again',
    file: 'packages/sidecar/dist/lib/sidecar.js',
    find: 'session.runs.get(seq)?.replay(received);',
    replace: '',
    feature: 'packages/bench/src/test/whole-answers.feature',
    scenario: 'the channel breaks in the middle'
  },
  {
    guarantee: '"not run" is true: a broken connection does not count as a refusal',
    file: 'packages/engine/dist/lib/http-call.js',
    find: 'return wasSent',
    replace: 'return false',
    feature: 'packages/bench/src/test/bookings.feature',
    scenario: 'a booking whose reply is lost'
  },
  {
    guarantee: '"not run" is true: frames of withdrawn requests are refused',
    file: 'packages/decisions/dist/lib/request-ledger.js',
    find: 'if (this._tombstones.delete(seq))',
    replace: 'if (false)',
    feature: 'packages/decisions/src/test/small-decisions.feature',
    scenario: 'a request frame runs at most once'
  },
  {
    guarantee: 'at most once: retries depend on the verdict',
    file: 'packages/decisions/dist/lib/request-flow.js',
    find: 'if (!mayResend(cause.verdict, request.idempotent))',
    replace: 'if (false)',
    feature: 'packages/decisions/src/test/request-flow.feature',
    scenario: 'any sequence of attempts'
  },
  {
    guarantee: 'at most once: a key is claimed only if absent',
    file: 'packages/sidecar/dist/lib/claims.js',
    find: 'case \'conflict\':\n                return this._evaluateExisting(written.current, localClaim.digest);',
    replace: 'case \'conflict\':\n                return { kind: \'taken\', claim: { key, token: localClaim.token } };',
    feature: 'packages/sidecar/src/test/claims.feature',
    scenario: 'any interleaving of sidecars'
  },
  {
    guarantee: 'at most once: a claim whose reply was lost is removed by its index',
    file: 'packages/sidecar/dist/lib/claims.js',
    find: 'await kv.remove(path, entry.modifyIndex);',
    replace: 'return true;',
    feature: 'packages/sidecar/src/test/claims.feature',
    scenario: 'a claim that took effect after its caller'
  },
  {
    guarantee: 'leaving: new work is refused',
    also: { file: 'packages/decisions/dist/lib/upstream-plan.js', find: 'if (this._leaving)', replace: 'if (false)' },
    file: 'packages/sidecar/dist/lib/sidecar.js',
    find: 'if (this._state === \'serving\')\n            return undefined;',
    replace: 'return undefined;',
    feature: 'packages/bench/src/test/leaving.feature',
    scenario: 'an entry that does not know of a drain'
  },
  {
    guarantee: 'graceful shutdown: running requests are finished',
    file: 'packages/sidecar/dist/lib/sidecar.js',
    find: 'while (!this._isQuiet() && clock.now() < end)',
    replace: 'while (false)',
    feature: 'packages/bench/src/test/leaving.feature',
    scenario: 'an upstream leaves under load'
  },
  {
    guarantee: 'configuration: no process returns to a lower revision',
    file: 'packages/config/dist/lib/config-state.js',
    find: 'doc.revision <= this.revision || ',
    replace: '',
    feature: 'packages/bench/src/test/config-in-force.feature',
    scenario: 'a process that offers an old document'
  },
  {
    guarantee: 'configuration: a restored store is brought up to date',
    file: 'packages/entry/dist/lib/config-watch.js',
    find: 'await this._putBack(held, read.entry?.modifyIndex ?? 0);',
    replace: '',
    feature: 'packages/bench/src/test/config-in-force.feature',
    scenario: 'a store restored from an old copy'
  },
  {
    guarantee: 'configuration: the outcome of a write without a reply is read back',
    file: 'packages/consul/dist/lib/cas-with-read-back.js',
    find: 'if (entry !== undefined && isOwn(entry.value))',
    replace: 'if (false)',
    feature: 'packages/cli/src/test/operators.feature',
    scenario: 'the reply to the write is lost'
  },
  {
    guarantee: 'fencing: the number is checked again after a pause',
    file: 'packages/sidecar/dist/lib/fence.js',
    find: 'if (clock.now() - this._verifiedAt < leaseMs)',
    replace: 'if (true)',
    feature: 'packages/sidecar/src/test/fence.feature',
    scenario: 'a holder that was paused'
  },
  {
    guarantee: 'stopped sidecars: no record is written any more',
    file: 'packages/sidecar/dist/lib/claims.js',
    find: '!stopped() && ',
    replace: '',
    feature: 'packages/bench/src/test/bookings.feature',
    scenario: 'sidecars that have stopped'
  }
]
