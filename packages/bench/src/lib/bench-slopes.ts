/**
 * `npm run bench -- slopes`: how the cost of control traffic and decisions grows, measured on one host.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { configKey, nextDocument, parseConfig } from '@hazelford/config'
import { chooseUpstream, UpstreamPlan, UpstreamView } from '@hazelford/decisions'
import { createKvClient } from '@hazelford/consul'
import { startHostListService, startKvService } from '@hazelford/stand-ins'
import { adapterName, configText } from './config-text.js'
import { type DaemonProcess, launcherToken, startDaemonProcess, startStandInProcess } from './daemon-process.js'
import { startFakeEntries, startFakeSidecars } from './fake-peers.js'
import { cpuMs } from './process-usage.js'
import { entrySettings, sidecarSettings } from './settings-text.js'
import type { Slope, SlopePoint } from './slope.js'
import { slopesPage } from './slopes-page.js'

const windowMs = 4_000
const settleMs = 2_000
const sidecarCounts = [10, 100, 300, 600, 1_000]
const entryCounts = [1, 10, 50, 100, 200]
const adapterCounts = [1_000, 5_000, 10_000, 20_000, 41_000]
const candidateCounts = [6, 13, 50, 200, 1_000]
const waitingCounts = [8, 64, 256]

function pause (ms: number): Promise<void> { return new Promise(resolve => { setTimeout(resolve, ms) }) }

/** Fits a line through points by least squares. */
export function fit (name: string, unitX: string, unitY: string, points: readonly SlopePoint[]): Slope {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length
  const over = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0)
  const under = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const perUnit = over / under
  return { name, unitX, unitY, points, base: meanY - perUnit * meanX, perUnit }
}

async function rssMb (daemon: DaemonProcess): Promise<number> {
  const res = await fetch(`http://127.0.0.1:${daemon.operatorPort}/status`, { headers: { authorization: `Bearer ${launcherToken}` } })
  const { memory } = await res.json() as { memory: { rss: number } }
  return memory.rss / 2 ** 20
}

interface ControlCost { readonly cpuPercent: number, readonly kilobytes: number, readonly rss: number }

async function measureControl (daemon: DaemonProcess, bytes: { sent: number, received: number }): Promise<ControlCost> {
  await pause(settleMs)
  const cpu = cpuMs(daemon.pid)
  const { sent, received } = bytes
  const from = performance.now()
  await pause(windowMs)
  const passed = performance.now() - from
  return {
    cpuPercent: 100 * (cpuMs(daemon.pid) - cpu) / passed,
    kilobytes: (bytes.sent + bytes.received - sent - received) / passed,
    rss: await rssMb(daemon)
  }
}

async function entrySlopes (): Promise<readonly Slope[]> {
  const costs: (ControlCost & { readonly x: number })[] = []
  for (const count of sidecarCounts) {
    const kv = await startKvService()
    const hostList = await startHostListService()
    const text = configText({ models: Array.from({ length: count }, (_, i) => ({ name: `m${i}`, fencing: 'ignored' })), plains: [], slots: 16, places: 8, adapters: 100, loadsPerSecond: 4, loadsAtOnce: 1 }).replace(/\[services\.booking\][^[]*/, '')
    await createKvClient(kv.url).cas(configKey, 0, JSON.stringify(nextDocument(0, text, 'bench', 0)))
    const peers = await startFakeSidecars(count, 1)
    hostList.lag = true
    for (const [i, port] of peers.ports.entries()) hostList.put({ name: `s${i}`, role: 'sidecar', zone: 'z', port, operatorPort: 0 })
    hostList.lag = false
    const entry = await startDaemonProcess('entry', entrySettings('entry', 'z', { kvUrl: kv.url, hostListUrl: hostList.url }))
    costs.push({ x: count, ...await measureControl(entry, peers.bytes) })
    entry.signal('SIGTERM')
    await entry.exited
    peers.close()
    await kv.close()
    await hostList.close()
  }
  return [
    fit('entry: processor by sidecars', 'sidecars', '% of a core', costs.map(cost => ({ x: cost.x, y: cost.cpuPercent }))),
    fit('entry: control traffic by sidecars', 'sidecars', 'kB/s', costs.map(cost => ({ x: cost.x, y: cost.kilobytes }))),
    fit('entry: memory by sidecars', 'sidecars', 'MB', costs.map(cost => ({ x: cost.x, y: cost.rss })))
  ]
}

async function sidecarSlopes (): Promise<readonly Slope[]> {
  const kv = await startKvService()
  const hostList = await startHostListService()
  const engine = await startStandInProcess('engine', { slots: 16, places: 8, stepMs: 20, stepMsPerSequence: 0, checksFencing: false })
  const address = { name: 'm0', kind: 'model', url: `http://127.0.0.1:${engine.port}` } as const
  const costs: (ControlCost & { readonly x: number })[] = []
  for (const count of entryCounts) {
    const sidecar = await startDaemonProcess('sidecar-m0', sidecarSettings('sidecar-m0', 'z', { kvUrl: kv.url, hostListUrl: hostList.url }, address))
    const peers = startFakeEntries(count, `127.0.0.1:${sidecar.port}`, 0)
    costs.push({ x: count, ...await measureControl(sidecar, peers.bytes) })
    peers.close()
    sidecar.signal('SIGKILL')
    await sidecar.exited
  }
  engine.signal('SIGTERM')
  await kv.close()
  await hostList.close()
  return [
    fit('sidecar: processor by entries', 'entries', '% of a core', costs.map(cost => ({ x: cost.x, y: cost.cpuPercent }))),
    fit('sidecar: control traffic by entries', 'entries', 'kB/s', costs.map(cost => ({ x: cost.x, y: cost.kilobytes }))),
    fit('sidecar: memory by entries', 'entries', 'MB', costs.map(cost => ({ x: cost.x, y: cost.rss })))
  ]
}

function configSlopes (): readonly Slope[] {
  const sizes: SlopePoint[] = []
  const times: SlopePoint[] = []
  const memory: SlopePoint[] = []
  for (const count of adapterCounts) {
    const text = configText({ models: [{ name: 'm0', fencing: 'ignored' }], plains: [], slots: 16, places: 8, adapters: count, loadsPerSecond: 4, loadsAtOnce: 1 })
    parseConfig(text)
    const heapBefore = process.memoryUsage().heapUsed
    const from = performance.now()
    const parsed = parseConfig(text)
    times.push({ x: count, y: performance.now() - from })
    sizes.push({ x: count, y: text.length / 1_000 })
    memory.push({ x: count, y: Math.max(0, process.memoryUsage().heapUsed - heapBefore) / 2 ** 20 })
    if (parsed.isErr()) throw new Error('the generated configuration is invalid')
  }
  return [
    fit('configuration: text by adapters', 'adapters', 'kB', sizes),
    fit('configuration: time to check by adapters', 'adapters', 'ms', times),
    fit('configuration: memory by adapters', 'adapters', 'MB', memory)
  ]
}

const decisionRounds = 2_000

function decisionSlopes (): readonly Slope[] {
  const weights = { stall: 1, queue: 1, batch: 0.2, zonePenalty: 5 }
  const choosing = candidateCounts.map(count => {
    const views = Array.from({ length: count }, (_, i) => {
      const view = new UpstreamView(`m${i}`, 'chat', 'z')
      const adapters = Array.from({ length: 16 }, (__, slot) => ({ adapter: `${adapterName((i * 16 + slot) % 3_000)}@2`, state: 'loaded' as const, pins: 0 }))
      view.update('serving', { running: i % 5, queued: 0, places: 8, slots: 16, adapters, loadMs: 250, loadsWaiting: 0, serviceMs: 1_500 }, -60_000)
      return view
    })
    const from = performance.now()
    for (let i = 0; i < decisionRounds; i++) chooseUpstream({ adapter: `${adapterName(i % 3_000)}@2`, zone: 'z', tried: new Set() }, views, weights, 0, Math.random)
    return { x: count, y: 1_000 * (performance.now() - from) / decisionRounds }
  })
  const planning = waitingCounts.map(count => {
    const plan = new UpstreamPlan({ slots: 16, places: 8, queueLimit: 10_000, draftLinger: 0 }, Math.random)
    const request = (id: string, at: number) => ({ id, trafficClass: 'interactive' as const, arrivedAt: at, deadlineAt: 1e12 })
    for (let i = 0; i < count + 8; i++) plan.handle({ kind: 'arrive', at: i, request: request(`w${i}`, i) })
    const from = performance.now()
    for (let i = 0; i < decisionRounds; i++) {
      plan.handle({ kind: 'arrive', at: 1e6 + i, request: request(`n${i}`, 1e6 + i) })
      plan.handle({ kind: 'withdraw', at: 1e6 + i, id: `n${i}` })
    }
    return { x: count, y: 1_000 * (performance.now() - from) / decisionRounds }
  })
  return [
    fit('entry: choice of an upstream by candidates', 'candidates', 'us', choosing),
    fit('sidecar: arrival and withdrawal by waiting requests', 'waiting', 'us', planning)
  ]
}

/**
 * Measures all slopes.
 *
 * @param print - prints one line
 * @param folder - output folder for JSON and plots
 */
export async function benchSlopes (print: (line: string) => void, folder: string): Promise<void> {
  const slopes = [...decisionSlopes(), ...configSlopes(), ...await sidecarSlopes(), ...await entrySlopes()]
  for (const slope of slopes) {
    const points = slope.points.map(point => `${point.x}: ${point.y.toFixed(point.y < 10 ? 2 : 0)}`).join(', ')
    print(`${slope.name}: ${slope.base.toFixed(2)} + ${slope.perUnit.toPrecision(3)} ${slope.unitY} for each of the ${slope.unitX} (${points})`)
  }
  mkdirSync(folder, { recursive: true })
  writeFileSync(`${folder}/slopes.json`, JSON.stringify(slopes, undefined, 2))
  writeFileSync(`${folder}/slopes.html`, slopesPage(slopes))
}
