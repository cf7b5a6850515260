/**
 * The demo: starts a whole deployment on loopback, sends real traffic and prints a summary.
 */
import { build as buildHistogram } from 'hdr-histogram-js'
import { adapterName, Fleet } from './lib/fleet.js'
import { book, type CallerResult, closeCallers, complete } from './lib/callers.js'
import { launcherToken } from './lib/daemon-process.js'
import { Random, zipf } from './lib/random.js'

const completions = 300
const bookings = 100
const meanGapMs = 20
const adapterCount = 200
const tokens = 12

function print (line: string): void { process.stdout.write(`${line}\n`) }

function percentiles (values: readonly number[]): string {
  const histogram = buildHistogram()
  for (const value of values) histogram.recordValue(Math.max(0, Math.round(value)))
  const at = (p: number): string => `${histogram.getValueAtPercentile(p)} ms`
  return `p50 ${at(50)}, p95 ${at(95)}, p99 ${at(99)}`
}

async function sendTraffic (fleet: Fleet): Promise<CallerResult[]> {
  const random = new Random(1)
  const rank = zipf(adapterCount, 1.1)
  const open: Promise<CallerResult>[] = []
  for (let i = 0; i < completions + bookings; i++) {
    const url = fleet.entryUrl(i)
    if (i % 4 === 3) open.push(book(url, `booking-${i}`, { 'idempotency-key': `key-${i}` }))
    else open.push(complete(url, adapterName(rank(random)), `prompt-${i}`, tokens, true))
    if (i % 50 === 49) print(`  sent ${i + 1} of ${completions + bookings}`)
    await new Promise(resolve => { setTimeout(resolve, random.exponential(meanGapMs)) })
  }
  return Promise.all(open)
}

/** Repeats every booking through the other entry; each repeat must get the first answer. */
async function repeatBookings (fleet: Fleet, first: readonly CallerResult[]): Promise<number> {
  const repeats = await Promise.all(first
    .filter(result => result.kind === 'booking' && result.status === 201)
    .map(result => book(fleet.entryUrl(Number(result.token.slice(8)) + 1), result.token, { 'idempotency-key': `key-${result.token.slice(8)}` })))
  return repeats.filter(repeat => repeat.replayed && repeat.status === 201).length
}

function summarise (fleet: Fleet, results: readonly CallerResult[], replayed: number): boolean {
  const chats = results.filter(result => result.kind === 'completion')
  const answered = chats.filter(result => result.status === 200 && result.whole)
  const booked = results.filter(result => result.kind === 'booking' && result.status === 201)
  const loads = fleet.engines.reduce((sum, engine) => sum + engine.loads, 0)
  const steps = fleet.engines.reduce((sum, engine) => sum + engine.fill.steps, 0)
  const filled = fleet.engines.reduce((sum, engine) => sum + engine.fill.placesFilled, 0)
  const runs = fleet.plains.flatMap(plain => [...plain.bookings.values()])
  const once = runs.filter(count => count === 1).length
  print('')
  print(`completions      ${answered.length} of ${chats.length} answered whole`)
  print(`  first token    ${percentiles(answered.map(result => result.firstMs))}`)
  print(`  whole answer   ${percentiles(answered.map(result => result.totalMs))}`)
  print(`adapter loads    ${loads}, at most ${fleet.weights.counts.mostAtOnce} at once, ${fleet.weights.counts.refused} refused by the weight store`)
  print(`batch fill       ${(100 * filled / (steps * fleet.size.places)).toFixed(0)} % of batch slots while busy`)
  print(`bookings         ${booked.length} confirmed, ${once} ran exactly once, ${runs.length - once} ran more than once`)
  print(`  repeats        ${replayed} of ${booked.length} got the first answer through another entry`)
  print(`key-value calls  ${fleet.kv.calls.reads} reads (${fleet.kv.calls.watches} of them watches), ${fleet.kv.calls.writes} writes`)
  return answered.length === chats.length && once === bookings && booked.length === bookings && replayed === bookings
}

function printAddresses (fleet: Fleet): void {
  const url = fleet.entryUrl(0)
  print('')
  print('Running. Stop with Ctrl-C. Try:')
  print(`  curl -N ${url}/v1/completions -H 'content-type: application/json' -d '{"model":"${adapterName(0)}","prompt":"hello","max_tokens":8,"stream":true}'`)
  print(`  curl ${url}/services/booking/reservations -H 'content-type: application/json' -H 'idempotency-key: one' -d '{"token":"one"}'`)
  print(`  curl http://127.0.0.1:${fleet.entries[0]!.operatorPort}/status -H 'authorization: Bearer ${launcherToken}'`)
  print('')
  print('For the command line:')
  print(`  export HAZELFORD_KV=${fleet.kv.url} HAZELFORD_HOSTS=${fleet.hostList.url} HAZELFORD_TOKEN=${launcherToken}`)
  print('  npx hazelford status')
}

async function main (): Promise<void> {
  print('Starting a deployment on loopback:')
  const fleet = await Fleet.start({
    models: 3, plains: 2, entries: 2, zones: 2, adapters: adapterCount, slots: 8, places: 8, stepMs: 10, loadsPerSecond: 40, loadsAtOnce: 2, loadMs: 25
  }, step => print(`  ${step}`))
  print(`Sending ${completions} completions over ${adapterCount} adapters and ${bookings} bookings:`)
  const results = await sendTraffic(fleet)
  const replayed = await repeatBookings(fleet, results)
  const isCorrect = summarise(fleet, results, replayed)
  if (process.argv.includes('--keep')) {
    printAddresses(fleet)
    await new Promise<void>(resolve => {
      process.once('SIGINT', resolve)
      process.once('SIGTERM', resolve)
    })
  }
  await closeCallers()
  await fleet.stop()
  print(isCorrect ? 'All guarantees held.' : 'Guarantees were VIOLATED; see above.')
  process.exitCode = isCorrect ? 0 : 1
}

await main()
