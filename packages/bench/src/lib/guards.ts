/**
 * Guards of the promises: each is taken out in turn, and its test must then fail.
 */

/** A piece of built code and what it becomes without its guard. */
export interface Edit {
  readonly file: string
  readonly find: string
  readonly replace: string
}

/** One guard. */
export interface Guard extends Edit {
  /** The promise it holds up. */
  readonly promise: string
  /** A second line of defence, taken out with it. */
  readonly also?: Edit
  /** Feature, and words of a scenario's name, that must fail without it. */
  readonly feature: string
  readonly scenario: string
}

/** All guards under test. */
export const guards: readonly Guard[] = [
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
