/**
 * The faults that a soak injects into a fleet; each ends after some time.
 */
import type { Fleet } from './fleet.js'
import type { Random } from './random.js'

/** One kind of fault. */
export interface SoakFault {
  readonly name: string
  /** Begins the fault and returns a function that ends it. */
  readonly begin: (fleet: Fleet, random: Random, state: SoakState) => Promise<() => Promise<void>>
}

/** State of the faults that checks and other faults need. */
export interface SoakState {
  /** Times at which an entry was killed; callers may lose their connection then. */
  readonly entryKills: number[]
  drained: readonly string[]
  /** Processes that a fault has paused or is replacing; `entries` and `config` mark a fault that replaces an entry or drains an upstream. */
  readonly busy: Set<string>
}

const noCleanup = async (): Promise<void> => {}

/** Number of active faults that set a switch, and its value before the first of them. */
interface SwitchOverride { activeFaults: number, readonly before: unknown }

const switchOverrides = new Map<object, Map<PropertyKey, SwitchOverride>>()

/**
 * Sets a switch until the last fault that set it has ended. Two faults of one kind may overlap. If the second restored
 * the value that it found, the first one's value would stay for good.
 */
function overrideSwitch<T extends object, K extends keyof T> (target: T, key: K, value: T[K]): () => Promise<void> {
  const switches = switchOverrides.get(target) ?? new Map<PropertyKey, SwitchOverride>()
  switchOverrides.set(target, switches)
  const override = switches.get(key) ?? { activeFaults: 0, before: target[key] }
  switches.set(key, override)
  override.activeFaults++
  target[key] = value
  return async () => {
    override.activeFaults--
    if (override.activeFaults > 0) return
    switches.delete(key)
    target[key] = override.before as T[K]
  }
}

function pick<T> (random: Random, items: readonly T[]): T { return items[random.below(items.length)]! }

/** Picks a process that no other fault affects. */
function pickIdle (random: Random, state: SoakState, names: readonly string[]): string | undefined {
  const idle = names.filter(name => !state.busy.has(name))
  return idle.length === 0 ? undefined : pick(random, idle)
}

async function replaceSidecar (fleet: Fleet, random: Random, state: SoakState, signal: 'SIGKILL' | 'SIGTERM'): Promise<() => Promise<void>> {
  const upstream = pickIdle(random, state, [...fleet.sidecars.keys()])
  if (upstream === undefined) return noCleanup
  state.busy.add(upstream)
  const old = fleet.sidecars.get(upstream)!
  old.signal(signal)
  await old.exited
  return async () => {
    await fleet.startSidecar(upstream)
    state.busy.delete(upstream)
  }
}

async function replaceEntry (fleet: Fleet, random: Random, state: SoakState, signal: 'SIGKILL' | 'SIGTERM'): Promise<() => Promise<void>> {
  const name = pickIdle(random, state, fleet.entries.map(entry => entry.name))
  // At most one entry is replaced at a time, so that one stays in service, as behind a load balancer.
  if (name === undefined || state.busy.has('entries')) return noCleanup
  state.busy.add(name).add('entries')
  const index = fleet.entries.findIndex(entry => entry.name === name)
  const old = fleet.entries[index]!
  if (signal === 'SIGKILL') state.entryKills.push(performance.now())
  fleet.outOfService.add(index)
  old.signal(signal)
  await old.exited
  return async () => {
    await fleet.startEntry(index)
    fleet.outOfService.delete(index)
    state.busy.delete(name)
    state.busy.delete('entries')
  }
}

async function pauseProcess (state: SoakState, name: string, signal: (name: NodeJS.Signals) => void): Promise<() => Promise<void>> {
  state.busy.add(name)
  signal('SIGSTOP')
  return async () => {
    signal('SIGCONT')
    state.busy.delete(name)
  }
}

/** All kinds of fault. */
export const soakFaults: readonly SoakFault[] = [
  { name: 'kv outage', begin: async fleet => overrideSwitch(fleet.kv.faults, 'outage', true) },
  { name: 'kv calls hang', begin: async fleet => overrideSwitch(fleet.kv.faults, 'blackHole', true) },
  { name: 'kv slow', begin: async fleet => overrideSwitch(fleet.kv.faults, 'delay', 300) },
  { name: 'kv loses replies', begin: async fleet => overrideSwitch(fleet.kv.faults, 'lostWriteShare', 0.5) },
  {
    name: 'kv stale reads',
    begin: async fleet => {
      fleet.kv.takeSnapshot()
      return overrideSwitch(fleet.kv.faults, 'staleReads', true)
    }
  },
  { name: 'host list lags', begin: async fleet => overrideSwitch(fleet.hostList, 'lag', true) },
  { name: 'host list outage', begin: async fleet => overrideSwitch(fleet.hostList, 'outage', true) },
  { name: 'weights slow', begin: async fleet => overrideSwitch(fleet.weights, 'slowness', 4) },
  { name: 'weights fail', begin: async fleet => overrideSwitch(fleet.weights, 'failShare', 0.5) },
  {
    name: 'engine restart',
    begin: async (fleet, random) => {
      pick(random, fleet.engines).restart()
      return noCleanup
    }
  },
  { name: 'events doubled', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.engines).faults, 'doubled', true) },
  { name: 'events swapped', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.engines).faults, 'swapped', true) },
  { name: 'streams cut', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.engines).faults, 'cutAfter', 5) },
  { name: 'streams truncated', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.engines).faults, 'truncate', 3) },
  { name: 'wrong adapter', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.engines).faults, 'wrongAdapter', 3) },
  { name: 'loads fail', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.engines).faults, 'failLoads', 3) },
  { name: 'unload replies lost', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.engines).faults, 'lostUnloadReplies', 3) },
  { name: 'booking replies lost', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.plains).faults, 'lostShare', 0.3) },
  { name: 'bookings slow', begin: async (fleet, random) => overrideSwitch(pick(random, fleet.plains).faults, 'delay', 400) },
  { name: 'sidecar killed', begin: (fleet, random, state) => replaceSidecar(fleet, random, state, 'SIGKILL') },
  { name: 'sidecar shut down', begin: (fleet, random, state) => replaceSidecar(fleet, random, state, 'SIGTERM') },
  { name: 'entry killed', begin: (fleet, random, state) => replaceEntry(fleet, random, state, 'SIGKILL') },
  { name: 'entry shut down', begin: (fleet, random, state) => replaceEntry(fleet, random, state, 'SIGTERM') },
  {
    name: 'sidecar paused',
    begin: async (fleet, random, state) => {
      const upstream = pickIdle(random, state, [...fleet.sidecars.keys()])
      if (upstream === undefined) return noCleanup
      const daemon = fleet.sidecars.get(upstream)!
      return pauseProcess(state, upstream, signal => daemon.signal(signal))
    }
  },
  {
    name: 'entry paused',
    begin: async (fleet, random, state) => {
      const name = pickIdle(random, state, fleet.entries.map(entry => entry.name))
      if (name === undefined) return noCleanup
      const daemon = fleet.entries.find(entry => entry.name === name)!
      return pauseProcess(state, name, signal => daemon.signal(signal))
    }
  },
  {
    name: 'drain and undrain',
    begin: async (fleet, random, state) => {
      if (fleet.kv.faults.outage || state.busy.has('config')) return noCleanup
      state.busy.add('config')
      state.drained = [pick(random, [...fleet.sidecars.keys()])]
      await fleet.applyConfig(state.drained)
      return async () => {
        state.drained = []
        await fleet.applyConfig([])
        state.busy.delete('config')
      }
    }
  }
]
