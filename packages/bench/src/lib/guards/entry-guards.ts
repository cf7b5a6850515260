/**
 * Guards of entries without sidecars, each by itself.
 */
import type { Guard } from './guard.js'

/** Guards of entries without sidecars, each by itself. */
export const entryGuards: readonly Guard[] = [
  {
    promise: 'direct answers: the id tells whose answer it is',
    file: 'packages/direct/dist/lib/exchange.js',
    find: 'facts.requestId !== undefined && facts.requestId !== this._call.id',
    replace: 'false',
    feature: 'platform/src/test/answers.feature',
    scenario: 'an answer that can\'t be trusted'
  },
  {
    promise: 'direct answers: an answer without a length goes out without one',
    file: 'packages/direct/dist/lib/caller-answer.js',
    find: 'answer.framed ?',
    replace: 'true ?',
    feature: 'platform/src/test/answers.feature',
    scenario: 'cut short'
  },
  {
    promise: 'direct requests: what a lost booking did is not guessed',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: '!isIdempotent(request) ||',
    replace: '',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'any sequence of outcomes'
  },
  {
    promise: 'direct requests: nothing is sent for a caller who has left',
    file: 'packages/direct/dist/lib/relay-task.js',
    find: 'setImmediate(() => setImmediate(() => this._placed(placed)));',
    replace: 'this._placed(placed);',
    feature: 'platform/src/test/answers.feature',
    scenario: 'before its request was read'
  },
  {
    promise: 'outage: lapsed servers are not gone',
    file: 'packages/direct/dist/lib/membership.js',
    find: 'goneAt > now && upstream.record.state === \'ready\'',
    replace: 'false',
    feature: 'platform/src/test/store.feature',
    scenario: 'records that lapse'
  },
  {
    promise: 'direct configuration: never back to an older version',
    file: 'packages/direct/dist/lib/config-holder.js',
    find: 'this._table !== undefined && config.version <= this._table.version',
    replace: 'false',
    feature: 'platform/src/test/store.feature',
    scenario: 'an older configuration'
  },
  {
    promise: 'direct configuration: lost history is read anew',
    file: 'packages/direct/dist/lib/store-mirror.js',
    find: 'this._known = false;\n            return \'heard\';',
    replace: 'return \'heard\';',
    feature: 'platform/src/test/store.feature',
    scenario: 'lost history'
  },
  {
    promise: 'adapters: what a request was promised stays',
    file: 'packages/decisions/dist/lib/adapter-plan.js',
    find: 'slot.promisedUntil <= now &&',
    replace: '',
    feature: 'packages/decisions/src/test/adapter-plan.feature',
    scenario: 'a slot that a request was promised'
  },
  {
    promise: 'leaving upstreams: their own word counts',
    file: 'packages/direct/dist/lib/notice-desk.js',
    find: 'this._options.leaves(upstream);',
    replace: '',
    feature: 'platform/src/test/notices.feature',
    scenario: 'servers that say in their answers that they leave'
  },
  {
    promise: 'leaving upstreams: all entries are told',
    file: 'packages/direct/dist/lib/notice-desk.js',
    find: 'if (source === \'its answer\')',
    replace: 'if (false)',
    feature: 'platform/src/test/notices.feature',
    scenario: 'an entry that has not heard it'
  },
  {
    promise: 'resting upstreams: they get no requests',
    file: 'packages/direct/dist/lib/placer.js',
    find: 'upstream.notices.restsUntil <= this._now &&',
    replace: '',
    feature: 'platform/src/test/notices.feature',
    scenario: 'servers that turn an entry away'
  },
  {
    promise: 'resting upstreams: they get no orders and no questions',
    file: 'packages/direct/dist/lib/engine-holder.js',
    find: 'if (this._rest > 0) {',
    replace: 'if (false) {',
    also: { file: 'packages/direct/dist/lib/liveness-probe.js', find: 'if (!this._options.mayAsk())', replace: 'if (false)' },
    feature: 'platform/src/test/notices.feature',
    scenario: 'servers that turn an entry away'
  },
  {
    promise: 'ended entries: nobody is asked any more',
    file: 'packages/direct/dist/lib/peer-suspects.js',
    find: 'if (this._stopped)',
    replace: 'if (false)',
    feature: 'platform/src/test/ended-entries.feature',
    scenario: 'an entry that suspected another one ends'
  },
  {
    promise: 'ended entries: nothing is ordered any more',
    file: 'packages/direct/dist/lib/engine-desk.js',
    find: 'if (this._stopped)',
    replace: 'if (false)',
    feature: 'platform/src/test/ended-entries.feature',
    scenario: 'an entry that orders engines is killed'
  },
  {
    promise: 'loads: one whose order had no answer is asked after',
    file: 'packages/decisions/dist/lib/adapter-plan.js',
    find: "state: 'unknown', orderedAt: now, readyAt: now",
    replace: "state: 'unknown', orderedAt: 0, readyAt: Infinity",
    feature: 'packages/decisions/src/test/adapter-plan.feature',
    scenario: 'a load whose answers are all lost'
  }
]
