/**
 * Runs many fake peers in one process, to measure what each peer costs the process under test.
 */
import { ChannelCredentials, type ClientDuplexStream, Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js'
import { ChannelClient, channelOptions, ChannelService, type EntryBatch, EntryBatch as EntryBatchCodec, type SidecarBatch, SidecarBatch as SidecarBatchCodec, type SidecarHeartbeat } from '@hazelford/wire'

/** Encoded bytes that the peers sent and received. */
export interface PeerBytes { sent: number, received: number }

/** Running fake peers. */
export interface Peers {
  readonly ports: readonly number[]
  readonly bytes: PeerBytes
  readonly close: () => void
}

const heartbeatMs = 250
const loadedAdapters = 16
/** At the deployments' load rates a sidecar's adapters change about every two seconds, so every eighth heartbeat lists them. */
const heartbeatsPerAdapterChange = 8

function heartbeat (revision: number): SidecarHeartbeat {
  return {
    revision,
    state: 'serving',
    running: 3,
    places: 8,
    queued: 0,
    slots: loadedAdapters,
    loadMs: 250,
    loadsWaiting: 0,
    serviceMs: 1_500,
    sameAdapters: false,
    endedUnder: [],
    adapters: Array.from({ length: loadedAdapters }, (_, i) => ({ adapter: `branch-${String(i).padStart(5, '0')}@2`, state: 'loaded', pins: i % 2 }))
  }
}

/**
 * Starts fake sidecars that send heartbeats and nothing else.
 *
 * @param count - number of sidecars, each on a port of its own
 * @param revision - configuration revision that they report
 */
export async function startFakeSidecars (count: number, revision: number): Promise<Peers> {
  const bytes: PeerBytes = { sent: 0, received: 0 }
  const servers: Server[] = []
  const timers: NodeJS.Timeout[] = []
  const ports: number[] = []
  for (let i = 0; i < count; i++) {
    const server = new Server(channelOptions)
    server.addService(ChannelService, {
      open: (stream: ServerDuplexStream<EntryBatch, SidecarBatch>) => {
        const send = (batch: SidecarBatch): void => {
          bytes.sent += SidecarBatchCodec.encode(batch).finish().length
          stream.write(batch)
        }
        stream.on('data', (batch: EntryBatch) => { bytes.received += EntryBatchCodec.encode(batch).finish().length })
        stream.on('error', () => {})
        send({ hlc: { wall: Date.now(), count: 0 }, frames: [{ body: { $case: 'welcome', value: { sidecar: `s${i}`, incarnation: `i${i}`, upstream: `m${i}`, revision, highestSeq: 0, open: [], report: heartbeat(revision), resumed: false } } }] })
        let heartbeats = 0
        timers.push(setInterval(() => {
          const full = heartbeat(revision)
          const value = ++heartbeats % heartbeatsPerAdapterChange === 0 ? full : { ...full, adapters: [], sameAdapters: true }
          send({ hlc: { wall: Date.now(), count: 0 }, frames: [{ body: { $case: 'heartbeat', value } }] })
        }, heartbeatMs))
      }
    })
    ports.push(await new Promise<number>((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, port) => error === null ? resolve(port) : reject(error))
    }))
    servers.push(server)
  }
  return {
    ports,
    bytes,
    close: () => {
      for (const timer of timers) clearInterval(timer)
      for (const server of servers) server.forceShutdown()
    }
  }
}

/**
 * Connects fake entries to one sidecar.
 *
 * @param count - number of entries
 * @param target - `host:port` of the sidecar
 * @param revision - configuration revision that they report
 */
export function startFakeEntries (count: number, target: string, revision: number): Peers {
  const bytes: PeerBytes = { sent: 0, received: 0 }
  const streams: ClientDuplexStream<EntryBatch, SidecarBatch>[] = []
  const clients: ChannelClient[] = []
  const timers: NodeJS.Timeout[] = []
  for (let i = 0; i < count; i++) {
    const client = new ChannelClient(target, ChannelCredentials.createInsecure(), channelOptions)
    const stream = client.open()
    const send = (batch: EntryBatch): void => {
      bytes.sent += EntryBatchCodec.encode(batch).finish().length
      stream.write(batch)
    }
    stream.on('data', (batch: SidecarBatch) => { bytes.received += SidecarBatchCodec.encode(batch).finish().length })
    stream.on('error', () => {})
    send({ hlc: undefined, frames: [{ body: { $case: 'hello', value: { entry: `e${i}`, incarnation: `i${i}`, zone: 'z', revision, open: [] } } }] })
    timers.push(setInterval(() => send({ hlc: { wall: Date.now(), count: 0 }, frames: [{ body: { $case: 'heartbeat', value: { revision } } }] }), heartbeatMs))
    clients.push(client)
    streams.push(stream)
  }
  return {
    ports: [],
    bytes,
    close: () => {
      for (const timer of timers) clearInterval(timer)
      for (const stream of streams) stream.cancel()
      for (const client of clients) client.close()
    }
  }
}
