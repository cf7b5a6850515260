/**
 * Guards of entries with sidecars.
 */
import type { Guard } from './guard.js'

/** Guards of entries with sidecars. */
export const sidecarGuards: readonly Guard[] = [
  {
    promise: 'right adapter: the engine\'s reply is checked',
    file: 'packages/engine/dist/lib/engine-client.js',
    find: '!line.includes(this._modelMark) && !namesModel(eventJson(line), this._call.engineName)',
    replace: 'false',
    feature: 'packages/bench/src/test/right-adapter.feature',
    scenario: 'the engine answers for another adapter'
  },
  {
    promise: 'right adapter: a successor serves only from names that nobody else can unload',
    file: 'packages/sidecar/dist/lib/engine-slots.js',
    find: '(checksFencing() && this._announced)',
    replace: 'true',
    feature: 'packages/bench/src/test/right-adapter.feature',
    scenario: 'a sidecar that was replaced wakes up'
  },
  {
    promise: 'no eviction in use: pinned slots are no victims',
    file: 'packages/decisions/dist/lib/slot-table.js',
    find: 'slot.state !== \'loaded\' || slot.pins > 0',
    replace: 'slot.state !== \'loaded\'',
    feature: 'packages/decisions/src/test/upstream-plan.feature',
    scenario: 'an adapter in use is never unloaded'
  },
  {
    promise: 'no eviction in use: a cancel ends the pin when the engine has stopped',
    file: 'packages/sidecar/dist/lib/request-desk.js',
    find: 'handle.cancel().then(() => this._finished(run, false), () => this._finished(run, false));',
    replace: 'handle.cancel().catch(() => {}); this._finished(run, false);',
    feature: 'packages/bench/src/test/eviction.feature',
    scenario: 'a slot wanted while its request is being cancelled'
  },
  {
    promise: 'whole answers: chunks come once and in order',
    file: 'packages/decisions/dist/lib/sequencer.js',
    find: 'if (index < this._next || this._held.has(index))',
    replace: 'if (false)',
    feature: 'packages/decisions/src/test/sequencer.feature',
    scenario: 'any order and any repeats'
  },
  {
    promise: 'whole answers: the end waits for every chunk',
    file: 'packages/engine/dist/lib/engine-client.js',
    find: 'if (this._resumed)',
    replace: 'if (false)',
    feature: 'packages/bench/src/test/whole-answers.feature',
    scenario: 'a stream that the engine forgot'
  },
  {
    promise: 'whole answers: what the entry lacks is sent again',
    file: 'packages/sidecar/dist/lib/sidecar.js',
    find: 'session.runs.get(seq)?.replay(received);',
    replace: '',
    feature: 'packages/bench/src/test/whole-answers.feature',
    scenario: 'the channel breaks in the middle'
  },
  {
    promise: '"not run" is true: a broken connection is no refusal',
    file: 'packages/engine/dist/lib/http-call.js',
    find: 'return wasSent',
    replace: 'return false',
    feature: 'packages/bench/src/test/bookings.feature',
    scenario: 'a booking whose reply is lost'
  },
  {
    promise: '"not run" is true: frames of withdrawn requests are refused',
    file: 'packages/decisions/dist/lib/request-ledger.js',
    find: 'if (this._tombstones.delete(seq))',
    replace: 'if (false)',
    feature: 'packages/decisions/src/test/small-decisions.feature',
    scenario: 'a request frame is taken once'
  },
  {
    promise: 'at most once: retries ask the verdict',
    file: 'packages/decisions/dist/lib/request-flow.js',
    find: 'if (!mayResend(cause.verdict, request.idempotent))',
    replace: 'if (false)',
    feature: 'packages/decisions/src/test/request-flow.feature',
    scenario: 'any sequence of attempts'
  },
  {
    promise: 'at most once: a key is claimed only if absent',
    file: 'packages/sidecar/dist/lib/claims.js',
    find: 'case \'conflict\':\n                return this._readOther(written.current, held.digest);',
    replace: 'case \'conflict\':\n                return { kind: \'taken\', claim: { key, token: held.token } };',
    feature: 'packages/sidecar/src/test/claims.feature',
    scenario: 'any interleaving of sidecars'
  },
  {
    promise: 'at most once: a lost claim is cleaned by its index',
    file: 'packages/sidecar/dist/lib/claims.js',
    find: 'await kv.remove(path, entry.modifyIndex);',
    replace: 'return true;',
    feature: 'packages/sidecar/src/test/claims.feature',
    scenario: 'a claim that took effect after its caller'
  },
  {
    promise: 'leaving: new work is refused',
    also: { file: 'packages/decisions/dist/lib/upstream-plan.js', find: 'if (this._leaving)', replace: 'if (false)' },
    file: 'packages/sidecar/dist/lib/sidecar.js',
    find: 'if (this._state === \'serving\')\n            return undefined;',
    replace: 'return undefined;',
    feature: 'packages/bench/src/test/leaving.feature',
    scenario: 'an entry that has not heard of a drain'
  },
  {
    promise: 'graceful shutdown: what runs is finished',
    file: 'packages/sidecar/dist/lib/sidecar.js',
    find: 'while (!this._isQuiet() && clock.now() < end)',
    replace: 'while (false)',
    feature: 'packages/bench/src/test/leaving.feature',
    scenario: 'an upstream leaves under load'
  },
  {
    promise: 'configuration: nobody goes to a lower revision',
    file: 'packages/config/dist/lib/config-state.js',
    find: 'doc.revision <= this.revision || ',
    replace: '',
    feature: 'packages/bench/src/test/config-in-force.feature',
    scenario: 'a process that offers an old document'
  },
  {
    promise: 'configuration: a restored store is brought up to date',
    file: 'packages/entry/dist/lib/config-watch.js',
    find: 'await this._putBack(held, read.entry?.modifyIndex ?? 0);',
    replace: '',
    feature: 'packages/bench/src/test/config-in-force.feature',
    scenario: 'a store restored from an old copy'
  },
  {
    promise: 'configuration: a lost reply is settled by reading back',
    file: 'packages/consul/dist/lib/settled-write.js',
    find: 'if (entry !== undefined && isOwn(entry.value))',
    replace: 'if (false)',
    feature: 'packages/cli/src/test/operators.feature',
    scenario: 'the reply to the write is lost'
  },
  {
    promise: 'fencing: the number is checked again after a pause',
    file: 'packages/sidecar/dist/lib/fence.js',
    find: 'if (clock.now() - this._verifiedAt < leaseMs)',
    replace: 'if (true)',
    feature: 'packages/sidecar/src/test/fence.feature',
    scenario: 'a holder that was paused'
  },
  {
    promise: 'ended sidecars: no record is written any more',
    file: 'packages/sidecar/dist/lib/claims.js',
    find: '!stopped() && ',
    replace: '',
    feature: 'packages/bench/src/test/bookings.feature',
    scenario: 'sidecars that have ended'
  }
]
