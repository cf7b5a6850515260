/**
 * Guards in single entries of the deployment without sidecars.
 */
import type { Guard } from './guard.js'

/** Guards in single entries of the deployment without sidecars. */
export const entryGuards: readonly Guard[] = [
  {
    guarantee: 'ends of answers: a reset at the end of an answer without a length is no end',
    file: 'packages/direct/dist/lib/connection-end.js',
    find: "socket.remoteAddress === undefined ? 'reset' : 'orderly'",
    replace: "'orderly'",
    feature: 'packages/direct/src/test/unproved-ends.feature',
    scenario: 'the connection of a stream without a length is reset, to a read'
  },
  {
    guarantee: 'ends of answers: the end of an answer without a length counts only if its upstream goes on running',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'if (isRunning)',
    replace: 'if (true)',
    feature: 'packages/direct/src/test/unproved-ends.feature',
    scenario: 'an upstream that does not listen'
  },
  {
    guarantee: 'heads of answers: a message that is no answer is not passed on',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: "if (head.kind === 'invalid')",
    replace: 'if (false)',
    feature: 'platform/src/test/invalid-answers.feature',
    scenario: 'the first book is answered with status 999 None'
  },
  {
    guarantee: 'heads of answers: a message that is no answer does not count as the answer to a call',
    file: 'packages/direct/dist/lib/peers/json-client.js',
    find: "if (head.kind === 'invalid')",
    replace: 'if (false)',
    feature: 'packages/direct/src/test/json-answers.feature',
    scenario: 'a call that is answered with status 999 None'
  },
  {
    guarantee: 'ends of answers: an answer without a length to a call counts only if its end is proved',
    file: 'packages/direct/dist/lib/peers/json-client.js',
    find: "head.framing === 'connection'",
    replace: 'false',
    feature: 'packages/direct/src/test/json-answers.feature',
    scenario: 'the connection of an answer without a length is reset, to a call'
  },
  {
    guarantee: 'ends of answers: a process that is gone while its kernel closes connections is not running',
    file: 'packages/direct/dist/lib/relay/process-probes.js',
    find: 'const holdTime = 100',
    replace: 'const holdTime = 0',
    feature: 'packages/direct/src/test/process-probes.feature',
    scenario: 'with 1000 other connections'
  },
  {
    guarantee: 'direct requests: a request whose caller has left is not handled',
    file: 'packages/direct/dist/lib/relay/caller-server.js',
    find: 'if (incoming.isGone())',
    replace: 'if (false)',
    feature: 'packages/direct/src/test/caller-server.feature',
    scenario: 'closes its connection before its request is handled'
  },
  {
    guarantee: 'endless answers: bytes before the head of an answer are limited',
    file: 'packages/direct/dist/lib/overhead-limit.js',
    find: 'if (bytes > overheadLimit)',
    replace: 'if (false)',
    feature: 'packages/direct/src/test/endless-answers.feature',
    scenario: 'is answered with HTTP/1.1 100 Continue without end'
  },
  {
    guarantee: 'endless answers: one event of a stream is limited',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'return bytes <= eventLimit && this._reservation.growTo(2 * bytes);',
    replace: 'return true;',
    feature: 'platform/src/test/endless-servers.feature',
    scenario: 'a model server that sends event without end'
  },
  {
    guarantee: 'endless answers: the pieces of one event are limited',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'if (restPieces > pieceLimit)',
    replace: 'if (false)',
    feature: 'platform/src/test/endless-servers.feature',
    scenario: 'a model server that sends tiny-chunks without end'
  },
  {
    guarantee: 'endless answers: the rest of a refusal is limited by its size',
    file: 'packages/direct/dist/lib/relay/discard-rest.js',
    find: 'if (bytes > limits.bytes)',
    replace: 'if (false)',
    feature: 'platform/src/test/endless-servers.feature',
    scenario: 'a model server that sends refusal without end'
  },
  {
    guarantee: 'endless answers: the rest of a refusal is limited by its time',
    file: 'packages/direct/dist/lib/relay/discard-rest.js',
    find: 'afterReading(clock, limits.time, exceed)',
    replace: '(() => {})',
    feature: 'platform/src/test/endless-servers.feature',
    scenario: 'a model server that sends refusal-slow without end'
  },
  {
    guarantee: 'endless answers: an upstream that sends them is not preferred for its fast refusals',
    file: 'packages/decisions/dist/lib/upstream-health.js',
    find: "outcome === 'unreachable' || outcome === 'endless';",
    replace: "outcome === 'unreachable';",
    feature: 'packages/decisions/src/test/direct-decisions.feature',
    scenario: 'an upstream that fails is ejected'
  },
  {
    guarantee: 'engines that are slower are home to fewer adapters',
    file: 'packages/decisions/dist/lib/place-request.js',
    find: 'return speed;',
    replace: '1',
    feature: 'packages/decisions/src/test/speed-placement.feature',
    scenario: 'homes of adapters follow the speeds'
  },
  {
    guarantee: 'direct answers: the request id must match the request',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'facts.requestId !== undefined && facts.requestId !== this._call.id',
    replace: 'false',
    feature: 'platform/src/test/answers.feature',
    scenario: 'an answer that can\'t be trusted'
  },
  {
    guarantee: 'direct requests: a request that nobody waits for holds its connection no longer than its upstream may work on it',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'this._clock.after(this._discardTime, () => this._closeUnanswered())',
    replace: '(() => {})',
    feature: 'platform/src/test/overdue-reads.feature',
    scenario: 'bookings that their servers never answer'
  },
  {
    guarantee: 'direct requests: a booking of a caller that has left is not broken off before its time limit',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'Math.max(0, this._startedAt + this._call.timeLimit + discardMargin - this._clock.now())',
    replace: '0',
    feature: 'platform/src/test/overdue-reads.feature',
    scenario: 'callers that leave'
  },
  {
    guarantee: 'direct requests: headers larger than the configuration allows are refused',
    file: 'packages/direct/dist/lib/relay/caller-server.js',
    find: 'headerBytes(req) > this._maxHeaderBytes',
    replace: 'false',
    feature: 'packages/direct/src/test/caller-limits.feature',
    scenario: 'headers that are larger'
  },
  {
    guarantee: 'direct requests: the memory of bodies is bounded over all callers',
    file: 'packages/direct/dist/lib/relay/body-memory.js',
    find: 'this._held + bytes > this._limit',
    replace: 'false',
    feature: 'packages/direct/src/test/caller-limits.feature',
    scenario: 'bodies that together need more memory'
  },
  {
    guarantee: 'direct requests: the memory of a body is free again after its answer',
    file: 'packages/direct/dist/lib/relay/caller-server.js',
    find: 'return;\n                reservation.release();',
    replace: 'return;',
    feature: 'packages/direct/src/test/caller-limits.feature',
    scenario: 'bodies that together need more memory'
  },
  {
    guarantee: 'direct requests: a connection is not closed while the rest of a refused body arrives',
    file: 'packages/direct/dist/lib/relay/caller-server.js',
    find: 'end => req.once(\'end\', end)',
    replace: 'end => end()',
    feature: 'packages/direct/src/test/caller-limits.feature',
    scenario: 'a refused body'
  },
  {
    guarantee: 'direct answers: a complete answer is passed on although its connection has closed',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'this._res?.complete === true',
    replace: 'false',
    feature: 'packages/direct/src/test/answer-ends.feature',
    scenario: 'closes after a stream answer, framed by its connection'
  },
  {
    guarantee: 'direct answers: an answer that was reset is lost, also when its end is due to be the close of its connection',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'this._req.on(\'error\', error => this._failed(error.message))',
    replace: 'this._req.on(\'error\', () => { })',
    feature: 'packages/direct/src/test/answer-ends.feature',
    scenario: 'is reset after a stream answer, framed by its connection'
  },
  {
    guarantee: 'direct answers: an answer without a length is passed on without one',
    file: 'packages/direct/dist/lib/relay/caller-answer.js',
    find: 'hasLength = answer.framed',
    replace: 'hasLength = true',
    feature: 'platform/src/test/answers.feature',
    scenario: 'cut short'
  },
  {
    guarantee: 'direct answers: an answer without a length is sent in chunks, so that the end of the process is not its end',
    file: 'packages/direct/dist/lib/relay/caller-answer.js',
    find: 'this._res.req.httpVersion !== \'1.0\'',
    replace: 'false',
    feature: 'platform/src/test/unmarked-ends.feature',
    scenario: 'an entry that is killed within a stream'
  },
  {
    guarantee: 'direct answers: an answer in chunks that breaks off resets the connection of a caller that gets no chunks',
    file: 'packages/direct/dist/lib/relay/caller-answer.js',
    find: '...head.headers, ...this._framing(head)',
    replace: '...head.headers, ...(head.framed ? [] : this._framing(head))',
    feature: 'platform/src/test/unmarked-ends.feature',
    scenario: 'a stream answer, framed by its chunks, that breaks off, to a caller of HTTP/1.0'
  },
  {
    guarantee: 'direct answers: an answer without chunks that is not complete is reset when the server of callers closes',
    file: 'packages/direct/dist/lib/relay/caller-server.js',
    find: 'this.endAnswers();',
    replace: '',
    feature: 'packages/direct/src/test/caller-server.feature',
    scenario: 'a caller of HTTP/1.0'
  },
  {
    guarantee: 'direct answers: an answer that breaks off while it waits behind a whole one does not cut that one',
    file: 'packages/direct/dist/lib/relay/caller-answer.js',
    find: 'else\n            this._res.destroy();',
    replace: 'else if (socket === null) this._res.once(\'socket\', it => it.resetAndDestroy()); else this._res.destroy();',
    feature: 'packages/direct/src/test/caller-server.feature',
    scenario: 'while it waits behind a whole one'
  },
  {
    guarantee: 'callers: an answer without chunks that breaks off at an entry with sidecars is reset',
    file: 'packages/entry/dist/lib/caller-response.js',
    find: 'req.httpVersion === \'1.0\'',
    replace: 'false',
    feature: 'packages/entry/src/test/caller-response.feature',
    scenario: 'answer to a caller of HTTP/1.0'
  },
  {
    guarantee: 'direct answers: an answer without chunks that is not complete is reset when the process exits',
    file: 'platform/dist/main.js',
    find: 'entry.processExits()',
    replace: '{}',
    feature: 'platform/src/test/unmarked-ends.feature',
    scenario: 'ends by an uncaught error within an answer to a caller of HTTP/1.0'
  },
  {
    guarantee: 'direct requests: a booking whose answer was lost is not sent again',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: '!isIdempotent(request) || (progress.begun',
    replace: '(progress.begun',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'any sequence of outcomes'
  },
  {
    guarantee: 'direct requests: only what may run twice is sent to a second upstream while the first one has it',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: '!isIdempotent(request) || tried.size',
    replace: 'tried.size',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'any sequence of outcomes'
  },
  {
    guarantee: 'direct requests: a silent upstream keeps a request until another one has sent a part of it',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: '[{ kind: \'send-beside\', upstream, cause }]',
    replace: '[{ kind: \'abandon\', upstream: progress.current }, { kind: \'send-beside\', upstream, cause }]',
    feature: 'platform/src/test/silent-servers.feature',
    scenario: 'pauses within its streams'
  },
  {
    guarantee: 'direct requests: an upstream that a slow caller keeps from being read does not count as silent',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'this._cancelTimer?.();\n        this._res?.pause();',
    replace: 'this._res?.pause();',
    feature: 'platform/src/test/silent-servers.feature',
    scenario: 'a caller reads slowly'
  },
  {
    guarantee: 'direct requests: an upstream whose data the entry has not read yet does not count as silent',
    file: 'packages/direct/dist/lib/after-reading.js',
    find: 'setImmediate(() => setImmediate(() => {',
    replace: '(go => go())((() => {',
    feature: 'platform/src/test/silent-servers.feature',
    scenario: 'an entry pauses itself while'
  },
  {
    guarantee: 'direct requests: an answer that has arrived in time is delivered, also if the entry has paused meanwhile',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: 'this._cancelTimeout = afterReading(clock, ',
    replace: 'this._cancelTimeout = clock.after(',
    feature: 'platform/src/test/silent-servers.feature',
    scenario: 'an entry pauses itself until'
  },
  {
    guarantee: 'stopping entries: what no upstream has is refused before the process ends',
    file: 'packages/direct/dist/lib/direct-entry.js',
    find: 'this._runner.stop();',
    replace: '',
    feature: 'platform/src/test/stopping-entries.feature',
    scenario: 'requests that wait for an adapter'
  },
  {
    guarantee: 'stopping entries: what waits before it is relayed is refused',
    file: 'packages/direct/dist/lib/relay/waiting-requests.js',
    find: 'this._waiting.add(request);',
    replace: '',
    feature: 'packages/direct/src/test/waiting-requests.feature',
    scenario: 'a request that waits for'
  },
  {
    guarantee: 'intake: a request whose usage can not be charged is refused',
    file: 'packages/direct/dist/lib/relay/request-intake.js',
    find: 'this._refuse(incoming, { kind: \'usage-unknown\', retryAfter: unverifiedRetryAfter });',
    replace: '',
    feature: 'packages/direct/src/test/waiting-requests.feature',
    scenario: 'ends by an error'
  },
  {
    guarantee: 'stopping entries: every request is answered or cut before the process ends',
    file: 'packages/direct/dist/lib/direct-entry.js',
    find: 'this._runner.endWithProcess();',
    replace: '',
    feature: 'platform/src/test/stopping-entries.feature',
    scenario: 'a booking that its server answers too late'
  },
  {
    guarantee: 'stopping entries: what an upstream refuses is not placed again',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: 'held ?? (isStopping',
    replace: 'held ?? (false',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'refuses a request while the entry stops'
  },
  {
    guarantee: 'direct requests: a search that was not needed any more does not decide that no upstream can be found',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: 'search.kind === \'next\' && search.isReused',
    replace: 'false',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'goes on and breaks the connection during the search'
  },
  {
    guarantee: 'direct requests: an upstream that has refused a request counts as one that got it, also if it terminates then',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: '!progress.reached.has(upstream)',
    replace: 'true',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'an upstream that lacks the adapter terminates'
  },
  {
    guarantee: 'direct requests: a second upstream is looked for only if the budget leaves a retry',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: ' || !deps.hasRetry(cause)',
    replace: '',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'while the retry budget is spent'
  },
  {
    guarantee: 'direct requests: a send that reached no upstream uses no retry',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: 'deps.returnRetry();',
    replace: ';',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'no other engine can be reached'
  },
  {
    guarantee: 'direct requests: a stream that breaks may go on at an upstream from which it was withdrawn',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: 'withdrawn.size === 0 ?',
    replace: 'true ?',
    feature: 'platform/src/test/silent-servers.feature',
    scenario: 'after it has gone on'
  },
  {
    guarantee: 'direct requests: a large answer that is no stream is not passed on as the rest of one',
    file: 'packages/direct/dist/lib/relay/exchange.js',
    find: 'this._call.continues',
    replace: 'false',
    feature: 'platform/src/test/silent-servers.feature',
    scenario: 'the other one answers "large-error"'
  },
  {
    guarantee: 'direct requests: a connection that failed does not count as an attempt at a read that is late',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: 'this._sends - this._failedConnections',
    replace: 'this._sends',
    feature: 'platform/src/test/silent-servers.feature',
    scenario: 'one plain server is gone'
  },
  {
    guarantee: 'direct requests: of two upstreams that go on at once, only one is read',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: '(!open.isSilent && this._exchanges.size === 1)',
    replace: '!open.isSilent',
    feature: 'packages/direct/src/test/relay-task.feature',
    scenario: 'any order of events'
  },
  {
    guarantee: 'direct requests: a placement that was looked for before the software of the stream was known is not used',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: 'this._software === software && ',
    replace: '',
    feature: 'packages/direct/src/test/relay-task.feature',
    scenario: 'any order of events'
  },
  {
    guarantee: 'direct requests: an upstream from which a request was withdrawn does not count it any more',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: 'exchange.abandon();\n            release();',
    replace: 'exchange.abandon();',
    feature: 'packages/direct/src/test/relay-task.feature',
    scenario: 'any order of events'
  },
  {
    guarantee: 'direct requests: the limit of an upstream gets back what did not reach the upstream',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: 'refund();\n                log.info',
    replace: 'log.info',
    feature: 'packages/direct/src/test/relay-task.feature',
    scenario: 'any order of events'
  },
  {
    guarantee: 'stopping entries: open requests are named in the log',
    file: 'packages/direct/dist/lib/direct-entry.js',
    find: 'openRequests(mostNamed)',
    replace: 'openRequests(0)',
    feature: 'platform/src/test/stopping-entries.feature',
    scenario: 'a booking that its server answers too late'
  },
  {
    guarantee: 'stopping entries: an answer that was not sent completely is reported',
    file: 'packages/direct/dist/lib/relay/caller-server.js',
    find: 'request.done(true)',
    replace: 'request.done(false)',
    feature: 'packages/direct/src/test/caller-server.feature',
    scenario: 'has not read its whole answer'
  },
  {
    guarantee: 'shared connections: only the last answer ends its connection',
    file: 'packages/direct/dist/lib/relay/caller-connection.js',
    find: 'this._pending.size > 1',
    replace: 'false',
    feature: 'platform/src/test/shared-connections.feature',
    scenario: 'their entry stops while they run'
  },
  {
    guarantee: 'shared connections: requests read together are refused together',
    file: 'packages/direct/dist/lib/relay/caller-server.js',
    find: 'process.nextTick(() => handle(incoming))',
    replace: 'handle(incoming)',
    feature: 'platform/src/test/shared-connections.feature',
    scenario: 'at an entry that refuses new requests'
  },
  {
    guarantee: 'shared connections: the close of a connection ends all its requests',
    file: 'packages/direct/dist/lib/relay/caller-connection.js',
    find: '_socket.once(\'close\', () => this._closed())',
    replace: '',
    feature: 'platform/src/test/shared-connections.feature',
    scenario: 'a caller that leaves with two stock checks'
  },
  {
    guarantee: 'direct requests: a read that one upstream has answered is withdrawn from the other',
    file: 'packages/decisions/dist/lib/relay-flow.js',
    find: '...abandonOther(msg.from, progress), { kind: \'deliver\' }, { kind: \'finish\' }',
    replace: '{ kind: \'deliver\' }, { kind: \'finish\' }',
    feature: 'packages/decisions/src/test/relay-flow.feature',
    scenario: 'a read is overdue'
  },
  {
    guarantee: 'direct requests: a read of a caller that has left is withdrawn from both upstreams',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: 'if (upstream !== undefined && id !== upstream)',
    replace: 'if (this._exchange !== exchange)',
    feature: 'platform/src/test/overdue-reads.feature',
    scenario: 'a caller leaves while two servers have its read'
  },
  {
    guarantee: 'direct requests: nothing is sent for a caller that has disconnected',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: 'setImmediate(() => setImmediate(() => {',
    replace: '(run => run())((() => {',
    feature: 'platform/src/test/answers.feature',
    scenario: 'before its request was read'
  },
  {
    guarantee: 'store outage: servers whose records have lapsed stay members',
    file: 'packages/direct/dist/lib/placing/membership.js',
    find: 'goneAt > now && upstream.record.state === \'ready\'',
    replace: 'false',
    feature: 'platform/src/test/store.feature',
    scenario: 'records that expire'
  },
  {
    guarantee: 'direct configuration: an older version never replaces a newer one',
    file: 'packages/direct/dist/lib/store/current-config.js',
    find: 'this._table !== undefined && config.version <= this._table.version',
    replace: 'false',
    feature: 'platform/src/test/store.feature',
    scenario: 'an older configuration'
  },
  {
    guarantee: 'direct configuration: the state is read again when the store has lost its history',
    file: 'packages/direct/dist/lib/store/store-mirror.js',
    find: 'this._known = false;\n            return \'heard\';',
    replace: 'return \'heard\';',
    feature: 'platform/src/test/store.feature',
    scenario: 'lost history'
  },
  {
    guarantee: 'large configuration: an answer that arrives steadily is received',
    file: 'packages/core/dist/lib/answer-deadline.js',
    find: 'this._dueAt = Math.min(now + transfer.pause, this._endAt);',
    replace: '',
    feature: 'platform/src/test/large-configurations.feature',
    scenario: 'starts with the largest'
  },
  {
    guarantee: 'large configuration: the store is listed when its changes are too large',
    file: 'packages/direct/dist/lib/store/store-mirror.js',
    find: 'Math.max(minWatchBytes, this._listingBytes * maxWatchShare)',
    replace: 'Infinity',
    feature: 'platform/src/test/large-configurations.feature',
    scenario: 'more changes than'
  },
  {
    guarantee: 'large configuration: followers get the differences of a listing',
    file: 'packages/direct/dist/lib/store/store-mirror.js',
    find: 'this.feed.relist(listing.items, listing.revision)',
    replace: 'this.feed.reset(listing.revision)',
    feature: 'packages/direct/src/test/propagation.feature',
    scenario: 'slow links and a few'
  },
  {
    guarantee: 'large configuration: parts of an answer are signs that the store answers',
    file: 'packages/direct/dist/lib/store/store-mirror.js',
    find: 'this._receivedAt = now;',
    replace: '',
    feature: 'packages/direct/src/test/propagation.feature',
    scenario: 'each of which watches'
  },
  {
    guarantee: 'large configuration: an answer that turns a watcher away is none',
    file: 'packages/direct/dist/lib/peers/json-client.js',
    find: 'if (res.statusCode === 200)',
    replace: '',
    feature: 'platform/src/test/followers.feature',
    scenario: 'turns the watchers away'
  },
  {
    guarantee: 'large configuration: the fastest links watch',
    file: 'packages/decisions/dist/lib/store-role.js',
    find: 'rateOf.get(b) - rateOf.get(a)',
    replace: '0',
    feature: 'platform/src/test/followers.feature',
    scenario: 'watchers with fast links'
  },
  {
    guarantee: 'store order: the answer of a watch is dropped after a peer\'s view',
    file: 'packages/direct/dist/lib/store/store-mirror.js',
    find: 'if (this._isRelistDue)\n                return \'overtaken\';',
    replace: '',
    feature: 'packages/direct/src/test/store-mirror.feature',
    scenario: 'while a watch is under way'
  },
  {
    guarantee: 'route timeout: no request waits longer for credit',
    file: 'packages/direct/dist/lib/usage/credit-queue.js',
    find: 'Math.min(longestWait, patience)',
    replace: 'longestWait',
    feature: 'packages/direct/src/test/usage.feature',
    scenario: 'does not wait as long'
  },
  {
    guarantee: 'route timeout: a request that is not read completely is answered',
    file: 'packages/direct/dist/lib/relay/caller-server.js',
    find: 'fail({ kind: \'body-incomplete\' });',
    replace: ';',
    feature: 'platform/src/test/answers.feature',
    scenario: 'does not finish its request'
  },
  {
    guarantee: 'adapters: a request is not sent for a version that was replaced while it waited',
    file: 'packages/direct/dist/lib/relay/relay-task.js',
    find: '(placed.version ?? 0) < declared',
    replace: 'false',
    feature: 'platform/src/test/adapters.feature',
    scenario: 'a new version of an adapter while a draft waits for it'
  },
  {
    guarantee: 'adapters: a request keeps waiting while another entry becomes the holder',
    file: 'packages/direct/dist/lib/placing/placer.js',
    find: '!isChanging ||',
    replace: '',
    feature: 'platform/src/test/ended-entries.feature',
    scenario: 'the holder of the only engine shuts down'
  },
  {
    guarantee: 'adapters: an adapter reserved for a request stays loaded',
    file: 'packages/decisions/dist/lib/adapter-plan.js',
    find: 'slot.reservedUntil <= now &&',
    replace: '',
    feature: 'packages/decisions/src/test/adapter-plan.feature',
    scenario: 'an adapter that is reserved for a request'
  },
  {
    guarantee: 'leaving upstreams: an upstream\'s own notice that it leaves is followed',
    file: 'packages/direct/dist/lib/placing/notice-coordinator.js',
    find: 'this._options.leavingAnnounced(upstream);',
    replace: '',
    feature: 'platform/src/test/notices.feature',
    scenario: 'servers that announce in their answers that they leave'
  },
  {
    guarantee: 'leaving upstreams: all entries are notified',
    file: 'packages/direct/dist/lib/placing/notice-coordinator.js',
    find: 'if (source === \'its answer\')',
    replace: 'if (false)',
    feature: 'platform/src/test/notices.feature',
    scenario: 'entries that have not received the notice'
  },
  {
    guarantee: 'upstreams in backoff: they get no requests',
    file: 'packages/direct/dist/lib/placing/placer.js',
    find: 'upstream.notices.backoffUntil <= this._now &&',
    replace: '',
    feature: 'platform/src/test/notices.feature',
    scenario: 'servers that refuse an entry\'s requests'
  },
  {
    guarantee: 'upstreams in backoff: they get no load orders and no probes',
    file: 'packages/direct/dist/lib/engines/engine-holder.js',
    find: 'if (this._backoff > 0) {',
    replace: 'if (false) {',
    also: { file: 'packages/direct/dist/lib/engines/liveness-probe.js', find: 'if (!this._options.mayProbe())', replace: 'if (false)' },
    feature: 'platform/src/test/notices.feature',
    scenario: 'servers that refuse an entry\'s requests'
  },
  {
    guarantee: 'stopped entries: no peer is pinged any more',
    file: 'packages/direct/dist/lib/peers/peer-suspects.js',
    find: 'if (this._stopped)',
    replace: 'if (false)',
    feature: 'platform/src/test/ended-entries.feature',
    scenario: 'an entry that suspects another one terminates'
  },
  {
    guarantee: 'stopped entries: no load or unload order is sent any more',
    file: 'packages/direct/dist/lib/engines/engine-coordinator.js',
    find: 'if (this._stopped)',
    replace: 'if (false)',
    feature: 'platform/src/test/ended-entries.feature',
    scenario: 'the holder of an engine is killed'
  },
  {
    guarantee: 'loads: the state of a load whose order got no answer is queried',
    file: 'packages/decisions/dist/lib/adapter-plan.js',
    find: "state: 'unknown', orderedAt: now, readyAt: now",
    replace: "state: 'unknown', orderedAt: 0, readyAt: Infinity",
    feature: 'packages/decisions/src/test/adapter-plan.feature',
    scenario: 'a load whose answers are all lost'
  },
  {
    guarantee: 'engines: a new holder sends no order before the former one has stopped',
    file: 'packages/direct/dist/lib/engines/takeover.js',
    find: 'await Promise.all(this._options.formers.map(former => this._awaitEnd(former)))',
    replace: '',
    feature: 'packages/direct/src/test/takeovers.feature',
    scenario: 'an entry takes over an engine whose former holder still sends orders'
  },
  {
    guarantee: 'engines: a former holder counts as stopped once its last order can not arrive any more',
    file: 'packages/direct/dist/lib/engines/engine-holder.js',
    find: 'this._ordersArriveUntil = clock.now() + orderTransit',
    replace: '',
    feature: 'packages/direct/src/test/takeovers.feature',
    scenario: 'an entry takes over an engine whose former holder still sends orders'
  },
  {
    guarantee: 'engines: all earlier claimants that may still send orders are notified',
    file: 'packages/direct/dist/lib/engines/claim-history.js',
    find: ', ...recorded?.formers ?? []',
    replace: '',
    feature: 'packages/direct/src/test/takeovers.feature',
    scenario: 'an entry takes over an engine whose former holder still sends orders'
  },
  {
    guarantee: 'engines: a holder turn holds across a restart of the entry',
    file: 'packages/direct/dist/lib/engines/engine-coordinator.js',
    find: '(!isEarlierHolder || this._reclaimCooldown.isOver(this._startedAt, now))',
    replace: 'true',
    feature: 'packages/direct/src/test/takeovers.feature',
    scenario: 'an entry restarts between two takeovers of its engine'
  },
  {
    guarantee: 'engines: a new holder waits for orders of a terminated one that are on their way',
    file: 'packages/direct/dist/lib/engines/takeover.js',
    find: "if (answer === 'terminated')",
    replace: 'if (false)',
    feature: 'packages/direct/src/test/takeovers.feature',
    scenario: 'a former holder that terminates while its orders are on their way'
  },
  {
    guarantee: 'engines: a lost claim is repeated on a newer view only',
    file: 'packages/direct/dist/lib/engines/engine-coordinator.js',
    find: 'if (this._wouldLoseAgain(upstream.id, now))',
    replace: 'if (false)',
    feature: 'packages/direct/src/test/takeovers.feature',
    scenario: 'claims by an entry whose view of the store is old'
  },
  {
    guarantee: 'speeds: an engine of the usual speed gets another one only beyond the dead band',
    file: 'packages/decisions/dist/lib/engine-speed.js',
    find: '(this._steps === 0 ? unequalSteps : equalSteps)',
    replace: 'equalSteps',
    feature: 'packages/decisions/src/test/engine-speed.feature',
    scenario: 'a speed at which two neighbouring values fit'
  },
  {
    guarantee: 'speeds: a popular engine does not count as slow',
    file: 'packages/decisions/dist/lib/pace-window.js',
    find: 'const undisturbedShare = 0.15',
    replace: 'const undisturbedShare = 0.5',
    feature: 'packages/decisions/src/test/engine-speed.feature',
    scenario: 'of which one reads prompts for half of the time'
  },
  {
    guarantee: 'speeds: a stream that something else delayed has no pace',
    file: 'packages/decisions/dist/lib/pace-window.js',
    find: 'this._isDisturbed ||',
    replace: '',
    feature: 'packages/decisions/src/test/engine-speed.feature',
    scenario: 'streams that something else than their engine delays'
  },
  {
    guarantee: 'speeds: an entry that reads events late compares no streams',
    file: 'packages/decisions/dist/lib/engine-speed.js',
    find: 'const isBusy = ',
    replace: 'const isBusy = false && ',
    feature: 'packages/decisions/src/test/engine-speed.feature',
    scenario: 'a third of the engines is slow'
  },
  {
    guarantee: 'speeds: a measured slowness replaces the learned one',
    file: 'packages/decisions/dist/lib/prompt-throttle.js',
    find: 'if (change < 1 && this._speed < 1)',
    replace: 'if (false)',
    feature: 'packages/decisions/src/test/prompt-throttle.feature',
    scenario: 'a slow engine whose throttle has learned that streams pause'
  },
  {
    guarantee: 'speeds: reports of other entries are checked',
    file: 'packages/direct/dist/lib/engines/stream-report.js',
    find: 'paces.filter(isPace)',
    replace: 'paces',
    feature: 'packages/direct/src/test/engine-speed.feature',
    scenario: 'reports of streams that are damaged'
  },
  {
    guarantee: 'speeds: a load without a speed leaves the last one',
    file: 'packages/direct/dist/lib/placing/upstream.js',
    find: 'readSpeed(speed) ?? this._speed',
    replace: 'readSpeed(speed) ?? 1',
    feature: 'packages/direct/src/test/engine-speed.feature',
    scenario: 'an entry that hears from holders of this version and of the version before'
  },
  {
    guarantee: 'speeds: a successor starts from the speed that its entry knows',
    file: 'packages/direct/dist/lib/engines/engine-holder.js',
    find: 'new EngineSpeed(_options.speed)',
    replace: 'new EngineSpeed()',
    feature: 'packages/direct/src/test/engine-speed.feature',
    scenario: 'an engine that changes hands'
  },
  {
    guarantee: 'speeds: a restarted engine is measured anew',
    file: 'packages/direct/dist/lib/engines/engine-holder.js',
    find: 'this._speed = new EngineSpeed(1);',
    replace: '',
    feature: 'packages/direct/src/test/engine-speed.feature',
    scenario: 'an engine that changes hands'
  }
]
