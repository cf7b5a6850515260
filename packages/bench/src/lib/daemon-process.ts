/**
 * Runs daemons as child processes of a launcher. Daemons themselves start no processes.
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'

/** Operator token of the daemons that demo, soak and benchmarks start. */
export const launcherToken = 'launcher-token-for-loopback-only'

const require = createRequire(import.meta.url)
const daemonMain = join(dirname(require.resolve('@hazelford/daemon')), 'main.js')
const standInMain = join(dirname(require.resolve('@hazelford/stand-ins')), 'main.js')
const logLimit = 20_000
const startTimeoutMs = 20_000

/** A running daemon or stand-in. */
export interface DaemonProcess {
  readonly name: string
  readonly pid: number
  readonly port: number
  readonly operatorPort: number
  readonly signal: (signal: NodeJS.Signals) => void
  /** Resolves with the exit code, or null after a signal. */
  readonly exited: Promise<number | null>
  readonly output: () => string
}

interface Ready { readonly port: number, readonly operatorPort: number }

function waitReady (child: ChildProcess, name: string, output: () => string): Promise<Ready> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`${name} did not start in time.\n${output()}`)), startTimeoutMs)
    let text = ''
    child.stdout!.on('data', (part: Buffer) => {
      text += part.toString()
      if (!text.includes('\n')) return
      clearTimeout(timer)
      resolve(JSON.parse(text.split('\n')[0]!) as Ready)
    })
    child.once('exit', code => reject(new Error(`${name} exited with ${code}.\n${output()}`)))
  })
}

async function startChild (name: string, args: readonly string[], cleanUp: () => void): Promise<DaemonProcess> {
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
  let log = ''
  child.stderr.on('data', (part: Buffer) => { log = (log + part.toString()).slice(-logLimit) })
  const exited = new Promise<number | null>(resolve => {
    child.once('exit', code => {
      cleanUp()
      resolve(code)
    })
  })
  const ready = await waitReady(child, name, () => log)
  return { name, pid: child.pid!, ...ready, signal: signal => { child.kill(signal) }, exited, output: () => log }
}

/**
 * Starts a daemon.
 *
 * @param name - name of the process
 * @param settings - settings as TOML text
 * @param nodeArgs - Node.js options, such as `--cpu-prof`
 * @returns the process, once it listens
 */
export function startDaemonProcess (name: string, settings: string, nodeArgs: readonly string[] = []): Promise<DaemonProcess> {
  const dir = mkdtempSync(join(tmpdir(), 'hazelford-'))
  const file = join(dir, `${name}.toml`)
  writeFileSync(file, settings, { mode: 0o600 })
  return startChild(name, [...nodeArgs, daemonMain, '--settings', file], () => rmSync(dir, { recursive: true, force: true }))
}

/**
 * Starts a stand-in as a process of its own, so that it does not compete with the measured process for one core.
 *
 * @param kind - which stand-in
 * @param options - options of an engine
 */
export function startStandInProcess (kind: 'engine' | 'plain', options: object = {}): Promise<DaemonProcess> {
  return startChild(kind, [standInMain, kind, JSON.stringify(options)], () => {})
}
