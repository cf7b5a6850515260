/**
 * `npm run bench -- path`: throughput of one entry and one sidecar and the latency that they add,
 * compared with direct calls of the same stand-in in the same run.
 */
import { configKey, nextDocument } from '@hazelford/config'
import { createKvClient } from '@hazelford/consul'
import { startHostListService, startKvService } from '@hazelford/stand-ins'
import { type DaemonProcess, launcherToken, startDaemonProcess, startStandInProcess } from './daemon-process.js'
import { cpuMs } from './process-usage.js'
import { closedLoop, manyStreams, openLoop, type Target } from './path-loads.js'
import { entrySettings, sidecarSettings } from './settings-text.js'

const adapter = 'a'
const callers = 64
const throughputMs = 5_000
const latencyMs = 5_000
const latencyRate = 500
const streams = 2_000
const stepMs = 33
const streamTokens = 100_000
const streamWindowMs = 6_000
const directPaths = { stock: '/stock', completions: '/v1/completions' } as const

const text = `[services.chat]
kind = "model"
deadline_ms = 600000
queue_limit = 100000
[services.booking]
kind = "plain"
queue_limit = 100000
[upstreams.m0]
service = "chat"
slots = 4
places = 4000
[upstreams.b0]
service = "booking"
places = 4000
[adapters]
${adapter} = "1"
`

interface StatusReply {
  readonly memory: { readonly rss: number }
  readonly upstreams?: readonly { readonly state: string }[]
}

async function status (daemon: DaemonProcess): Promise<StatusReply> {
  const res = await fetch(`http://127.0.0.1:${daemon.operatorPort}/status`, { headers: { authorization: `Bearer ${launcherToken}` } })
  return await res.json() as StatusReply
}

async function rssMb (daemon: DaemonProcess): Promise<number> {
  return (await status(daemon)).memory.rss / 2 ** 20
}

async function untilServing (entry: DaemonProcess, count: number): Promise<void> {
  for (;;) {
    const seen = await status(entry)
    if (seen.upstreams?.filter(upstream => upstream.state === 'serving').length === count) return
    await new Promise(resolve => { setTimeout(resolve, 20) })
  }
}

/** Loads the adapter into the engine under its plain name, for the direct calls. */
async function loadAdapter (engineUrl: string): Promise<void> {
  await fetch(`${engineUrl}/v1/load_lora_adapter`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-fencing-number': '1000000' },
    body: JSON.stringify({ lora_name: adapter, lora_path: adapter })
  }).then(res => res.arrayBuffer())
}

/**
 * Runs the benchmark.
 *
 * @param print - prints one line of the report
 * @param nodeArgs - Node.js options for the daemons, such as `--cpu-prof`
 */
export async function benchPath (print: (line: string) => void, nodeArgs: readonly string[]): Promise<void> {
  const kv = await startKvService()
  const hostList = await startHostListService()
  const fleet = { kvUrl: kv.url, hostListUrl: hostList.url }
  await createKvClient(kv.url).cas(configKey, 0, JSON.stringify(nextDocument(0, text, 'bench', Date.now())))
  const engine = await startStandInProcess('engine', { slots: 8, places: 4_000, stepMs, stepMsPerSequence: 0, checksFencing: false, keepsRecord: false })
  const plain = await startStandInProcess('plain')
  const engineUrl = `http://127.0.0.1:${engine.port}`
  const plainUrl = `http://127.0.0.1:${plain.port}`
  const modelSidecar = await startDaemonProcess('sidecar-m0', sidecarSettings('sidecar-m0', 'z', fleet, { name: 'm0', kind: 'model', url: engineUrl }), nodeArgs)
  const plainSidecar = await startDaemonProcess('sidecar-b0', sidecarSettings('sidecar-b0', 'z', fleet, { name: 'b0', kind: 'plain', url: plainUrl }), nodeArgs)
  for (const daemon of [modelSidecar, plainSidecar]) {
    hostList.put({ name: daemon.name, role: 'sidecar', zone: 'z', port: daemon.port, operatorPort: daemon.operatorPort })
  }
  const entry = await startDaemonProcess('entry', entrySettings('entry', 'z', fleet), nodeArgs)
  await untilServing(entry, 2)
  const entryUrl = `http://127.0.0.1:${entry.port}`

  await benchCalls(print, { url: plainUrl, path: directPaths.stock }, { url: entryUrl, path: '/services/booking/stock' })
  await benchStreams(print, engine, entry, modelSidecar)

  for (const daemon of [entry, modelSidecar, plainSidecar, engine, plain]) daemon.signal('SIGTERM')
  await Promise.all([entry, modelSidecar, plainSidecar, engine, plain].map(daemon => daemon.exited))
  await kv.close()
  await hostList.close()
}

async function benchCalls (print: (line: string) => void, directTarget: Target, proxiedTarget: Target): Promise<void> {
  await closedLoop(directTarget, callers, 1_000)
  await closedLoop(proxiedTarget, callers, 1_000)
  const directRate = await closedLoop(directTarget, callers, throughputMs)
  const proxiedRate = await closedLoop(proxiedTarget, callers, throughputMs)
  print(`short requests/s    direct ${directRate.perSecond.toFixed(0)}, through entry and sidecar ${proxiedRate.perSecond.toFixed(0)} (ratio ${(proxiedRate.perSecond / directRate.perSecond).toFixed(2)}, failed ${proxiedRate.failed}); goal 5000: ${proxiedRate.perSecond >= 5_000 ? 'met' : 'missed'}`)
  const directLatency = await openLoop(directTarget, latencyRate, latencyMs)
  const proxiedLatency = await openLoop(proxiedTarget, latencyRate, latencyMs)
  const added = { p50: proxiedLatency.p50 - directLatency.p50, p99: proxiedLatency.p99 - directLatency.p99 }
  print(`added latency       at ${latencyRate}/s: p50 ${directLatency.p50.toFixed(2)} -> ${proxiedLatency.p50.toFixed(2)} ms (+${added.p50.toFixed(2)}; goal 1: ${added.p50 <= 1 ? 'met' : 'missed'}), p99 ${directLatency.p99.toFixed(2)} -> ${proxiedLatency.p99.toFixed(2)} ms (+${added.p99.toFixed(2)}; goal 5: ${added.p99 <= 5 ? 'met' : 'missed'})`)
}

/** Measures the processor time of processes over a window, as shares of a core. */
class CpuWindow {
  private _before: readonly number[] = []
  private _from = 0
  shares: readonly number[] = []

  constructor (private readonly _daemons: readonly DaemonProcess[]) {}

  /** Takes a sample; called when the window opens and again when it closes. */
  sample (): void {
    const now = this._daemons.map(daemon => cpuMs(daemon.pid))
    if (this._from > 0) this.shares = now.map((ms, i) => (ms - this._before[i]!) / (performance.now() - this._from))
    this._before = now
    this._from = performance.now()
  }
}

function percent (share: number | undefined): string { return `${(100 * (share ?? 0)).toFixed(0)} %` }

async function benchStreams (print: (line: string) => void, engine: DaemonProcess, entry: DaemonProcess, sidecar: DaemonProcess): Promise<void> {
  const engineUrl = `http://127.0.0.1:${engine.port}`
  const entryUrl = `http://127.0.0.1:${entry.port}`
  await loadAdapter(engineUrl)
  const directCpu = new CpuWindow([engine])
  const directLoad = await manyStreams({ url: engineUrl, path: directPaths.completions }, adapter, streams, streamTokens, streamWindowMs, async () => directCpu.sample())
  await new Promise(resolve => { setTimeout(resolve, 1_000) })
  const cpu = new CpuWindow([engine, entry, sidecar])
  let rss = { entry: 0, sidecar: 0 }
  const proxiedLoad = await manyStreams({ url: entryUrl, path: directPaths.completions }, adapter, streams, streamTokens, streamWindowMs, async () => {
    cpu.sample()
    rss = { entry: await rssMb(entry), sidecar: await rssMb(sidecar) }
  })
  const offered = Math.round(streams * 1_000 / stepMs)
  print(`streamed chunks/s   offered ${offered}; direct ${directLoad.chunksPerSecond.toFixed(0)}, through entry and sidecar ${proxiedLoad.chunksPerSecond.toFixed(0)} (ratio ${(proxiedLoad.chunksPerSecond / directLoad.chunksPerSecond).toFixed(2)}, failed ${proxiedLoad.failed}); goal 60000: ${proxiedLoad.chunksPerSecond >= 60_000 ? 'met' : 'missed'}`)
  print(`processor           direct: engine stand-in ${percent(directCpu.shares[0])} of a core; through: engine stand-in ${percent(cpu.shares[0])}, entry ${percent(cpu.shares[1])}, sidecar ${percent(cpu.shares[2])}`)
  print(`memory              with ${streams} open streams: entry ${rss.entry.toFixed(0)} MB, sidecar ${rss.sidecar.toFixed(0)} MB; goal 256: ${Math.max(rss.entry, rss.sidecar) < 256 ? 'met' : 'missed'}`)
}
