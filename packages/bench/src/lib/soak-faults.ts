/**
 * Faults that a soak injects into a fleet, each with its end.
 */
import type { Fleet } from './fleet.js'
import type { Random } from './random.js'

/** One kind of fault. */
export interface SoakFault {
  readonly name: string
  /** Begins it and gives what ends it. */
  readonly begin: (fleet: Fleet, random: Random, state: SoakState) => Promise<() => Promise<void>>
}

/** What the checks must know of the faults. */
export interface SoakState {
  /** Times at which an entry was killed, when callers may lose their connection. */
  readonly entryKills: number[]
  drained: readonly string[]
  /** Processes that are stopped or being replaced. */
  readonly busy: Set<string>
}

const noEnd = async (): Promise<void> => {}

/** How many faults hold a switch, and what it was before the first. */
interface HeldSwitch { holders: number, readonly before: unknown }

const heldSwitches = new Map<object, Map<PropertyKey, HeldSwitch>>()

/**
 * Sets a switch until the last fault that set it has ended. Two faults of a kind may
 * overlap; restoring what the second one found would leave the first one's value for good.
 */
function setFor<T extends object, K extends keyof T> (target: T, key: K, value: T[K]): () => Promise<void> {
  const switches = heldSwitches.get(target) ?? new Map<PropertyKey, HeldSwitch>()
  heldSwitches.set(target, switches)
  const held = switches.get(key) ?? { holders: 0, before: target[key] }
  switches.set(key, held)
  held.holders++
  target[key] = value
  return async () => {
    held.holders--
    if (held.holders > 0) return
    switches.delete(key)
    target[key] = held.before as T[K]
  }
}

function pick<T> (random: Random, items: readonly T[]): T { return items[random.below(items.length)]! }

/** Picks a process that no other fault has in hand. */
function pickFree (random: Random, state: SoakState, names: readonly string[]): string | undefined {
  const free = names.filter(name => !state.busy.has(name))
  return free.length === 0 ? undefined : pick(random, free)
}

async function replaceSidecar (fleet: Fleet, random: Random, state: SoakState, signal: 'SIGKILL' | 'SIGTERM'): Promise<() => Promise<void>> {
  const upstream = pickFree(random, state, [...fleet.sidecars.keys()])
  if (upstream === undefined) return noEnd
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
  const name = pickFree(random, state, fleet.entries.map(entry => entry.name))
  // One entry always stays, as behind a balancer.
  if (name === undefined || state.busy.has('entries')) return noEnd
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

/** All faults. */
export const soakFaults: readonly SoakFault[] = [
  { name: 'kv outage', begin: async fleet => setFor(fleet.kv.faults, 'outage', true) },
  { name: 'kv swallows calls', begin: async fleet => setFor(fleet.kv.faults, 'blackHole', true) },
  { name: 'kv slow', begin: async fleet => setFor(fleet.kv.faults, 'delay', 300) },
  { name: 'kv loses replies', begin: async fleet => setFor(fleet.kv.faults, 'lostWriteShare', 0.5) },
  {
    name: 'kv stale reads',
    begin: async fleet => {
      fleet.kv.takeSnapshot()
      return setFor(fleet.kv.faults, 'staleReads', true)
    }
  },
  { name: 'host list lags', begin: async fleet => setFor(fleet.hostList, 'lag', true) },
  { name: 'host list outage', begin: async fleet => setFor(fleet.hostList, 'outage', true) },
  { name: 'weights slow', begin: async fleet => setFor(fleet.weights, 'slowness', 4) },
  { name: 'weights fail', begin: async fleet => setFor(fleet.weights, 'failShare', 0.5) },
  {
    name: 'engine restart',
    begin: async (fleet, random) => {
      pick(random, fleet.engines).restart()
      return noEnd
    }
  },
  { name: 'events doubled', begin: async (fleet, random) => setFor(pick(random, fleet.engines).faults, 'doubled', true) },
  { name: 'events swapped', begin: async (fleet, random) => setFor(pick(random, fleet.engines).faults, 'swapped', true) },
  { name: 'streams cut', begin: async (fleet, random) => setFor(pick(random, fleet.engines).faults, 'cutAfter', 5) },
  { name: 'streams truncated', begin: async (fleet, random) => setFor(pick(random, fleet.engines).faults, 'truncate', 3) },
  { name: 'wrong adapter', begin: async (fleet, random) => setFor(pick(random, fleet.engines).faults, 'wrongAdapter', 3) },
  { name: 'loads fail', begin: async (fleet, random) => setFor(pick(random, fleet.engines).faults, 'failLoads', 3) },
  { name: 'unload replies lost', begin: async (fleet, random) => setFor(pick(random, fleet.engines).faults, 'lostUnloadReplies', 3) },
  { name: 'booking replies lost', begin: async (fleet, random) => setFor(pick(random, fleet.plains).faults, 'lostShare', 0.3) },
  { name: 'bookings slow', begin: async (fleet, random) => setFor(pick(random, fleet.plains).faults, 'delay', 400) },
  { name: 'sidecar killed', begin: (fleet, random, state) => replaceSidecar(fleet, random, state, 'SIGKILL') },
  { name: 'sidecar shut down', begin: (fleet, random, state) => replaceSidecar(fleet, random, state, 'SIGTERM') },
  { name: 'entry killed', begin: (fleet, random, state) => replaceEntry(fleet, random, state, 'SIGKILL') },
  { name: 'entry shut down', begin: (fleet, random, state) => replaceEntry(fleet, random, state, 'SIGTERM') },
  {
    name: 'sidecar paused',
    begin: async (fleet, random, state) => {
      const upstream = pickFree(random, state, [...fleet.sidecars.keys()])
      if (upstream === undefined) return noEnd
      const daemon = fleet.sidecars.get(upstream)!
      return pauseProcess(state, upstream, signal => daemon.signal(signal))
    }
  },
  {
    name: 'entry paused',
    begin: async (fleet, random, state) => {
      const name = pickFree(random, state, fleet.entries.map(entry => entry.name))
      if (name === undefined) return noEnd
      const daemon = fleet.entries.find(entry => entry.name === name)!
      return pauseProcess(state, name, signal => daemon.signal(signal))
    }
  },
  {
    name: 'drain and undrain',
    begin: async (fleet, random, state) => {
      if (fleet.kv.faults.outage || state.busy.has('config')) return noEnd
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
