/**
 * An entry is stopped with SIGTERM, as in a rolling restart, while every adapter slot of the engines is in use. Requests
 * that it takes just after the signal wait for a slot. Each has to get an answer before the entry ends.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, configOf, Engine, Entry, now, Record, routeOf, run, sleep, Store, until } from '../lib/kit.mjs'

const folder = dirname(fileURLToPath(import.meta.url))
/** As `routine-bulletin` on the sheet of the site. */
const route = routeOf('report', 'streaming', 'models', { 'timeout-ms': 20_000, 'target-latency-ms': 2_000, priority: 2 })
const timeLimitMs = 20_000
/** Callers of streams leave after a silence of four latency targets. */
const leaveAfterMs = 8_000
const slots = 2
const engineCount = 2
const requests = 8
const graceMs = 8_000
const lossSlackMs = 200
const contactMs = 4_000
const publishEveryMs = 1_200

await run(async ({ trouble }) => {
  const record = new Record(folder)
  const store = new Store()
  await store.listen()
  const engines = []
  for (let n = 1; n <= engineCount; n++) {
    // 464 tokens are 58 events, 280 ms apart: a stream of 16 s, with pauses below the route's longest one.
    const engine = await new Engine(`i-${n}`, record, { slots, eventMs: 280 }).listen()
    engines.push(engine)
  }
  const publish = () => { for (const engine of engines) engine.publish(store) }
  publish()
  setInterval(publish, publishEveryMs).unref()
  store.put('op/config', configOf(1, [route], { engine: true, adapterSlots: slots }))
  const stopped = (await Entry.create('front-1', store)).start()
  const other = (await Entry.create('front-2', store)).start()
  for (const entry of [stopped, other]) await entry.untilReady()
  await until('each engine has a holder', () => store.keys('hazelford/holders/').length === engineCount)
  await sleep(contactMs + 500)
  const ask = (entry, id, adapter, leaveAfter = timeLimitMs) => {
    record.line('caller sends', id, 'for', adapter, 'to', entry.name)
    return call(entry, { id, path: '/report/1', deadline: timeLimitMs, leaveAfter, headers: { 'Hazelford-Model': `base/${adapter}`, 'Hazelford-Token-Usage': '628,464', 'Hazelford-Prompt-Prefix': `${id.length.toString(16)}a:100,${id.charCodeAt(1).toString(16)}b:528` } })
  }
  const running = () => engines.reduce((sum, engine) => sum + engine.running, 0)
  for (let n = 0; running() < slots * engineCount; n++) {
    if (n > 40) throw new Error('The slots were not filled.')
    const before = running()
    ask(other, `long${n}`, `a${n}`).then(({ id, status, took }) => record.line('caller of', id, 'has got', status, 'after', took))
    const end = now() + 1_500
    while (running() === before && now() < end) await sleep(20)
  }
  record.line('every adapter slot is in use')
  if (trouble) stopped.signal('SIGTERM')
  const termAt = now()
  record.line(trouble ? `SIGTERM to ${stopped.name}` : 'no SIGTERM')
  const waiting = []
  for (let n = 0; n < requests; n++) {
    await sleep(250)
    waiting.push(ask(stopped, `w${n}`, `b${n}`, leaveAfterMs))
  }
  const results = await Promise.all(waiting)
  const ran = new Set(engines.flatMap(engine => engine.runs.map(({ id }) => id)))
  for (const { id, status, whole, took, error, left } of results) record.line('caller of', id, 'has got', status === 0 ? 'no answer' : status, whole ? 'complete' : 'incomplete', `after ${took} ms`, error ?? '', left ? 'and has left by itself' : '', ran.has(id) ? 'it ran' : 'no server ran it')
  const lost = results.filter(({ id, status, took, left, endedAt }) => status === 0 && left !== true && !ran.has(id) && took > lossSlackMs && endedAt <= termAt + graceMs + 1_000)
  record.line(`${lost.length} of ${requests} requests were read, reached no server, and their channels ended without an answer`)
  console.log(`${lost.length} of ${requests} requests got no answer.`)
  for (const entry of [stopped, other]) await entry.dispose()
  return lost.length > 0
})
