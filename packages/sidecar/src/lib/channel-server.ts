/**
 * The sidecar's end of the channels: accepts connections from entries.
 */
import { type Clock, type HybridClock, type Ms } from '@hazelford/core'
import { ChannelService, channelOptions, type Chunk, type EntryBatch, type EntryFrame, type SidecarBatch, type SidecarFrame, SidecarOutbox } from '@hazelford/wire'
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js'

/** Hears what comes over one connection. */
export interface ConnectionHandler {
  readonly frame: (frame: EntryFrame) => void
  readonly closed: () => void
}

/** One connection from an entry. */
export interface Connection {
  readonly send: (frame: SidecarFrame) => void
  readonly sendChunk: (chunk: Chunk) => void
  readonly close: () => void
}

/** Listens for entries. */
export interface ChannelServer {
  readonly port: number
  /** Cuts all connections and stops listening. */
  readonly close: () => void
  /** Cuts all connections but goes on listening; for tests of reconnects. */
  readonly cutAll: () => void
}

/** What the server works with. */
export interface ChannelServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly hlc: HybridClock
  readonly accept: (connection: Connection) => ConnectionHandler
  readonly credentials?: ServerCredentials
}

type Stream = ServerDuplexStream<EntryBatch, SidecarBatch>

function openConnection (stream: Stream, options: ChannelServerOptions): Connection {
  const { hlc } = options
  const outbox = new SidecarOutbox(frames => stream.write({ hlc: hlc.tick(), frames }))
  stream.on('drain', () => outbox.drained())
  return {
    send: frame => outbox.send(frame),
    sendChunk: chunk => outbox.sendChunk(chunk),
    close: () => {
      outbox.close()
      stream.end()
    }
  }
}

/**
 * Starts to listen.
 *
 * @param options - address, clock and what to do with a connection
 * @returns once the port is bound
 */
export async function startChannelServer (options: ChannelServerOptions): Promise<ChannelServer> {
  const server = new Server(channelOptions)
  const streams = new Set<Stream>()
  server.addService(ChannelService, {
    open: (stream: Stream) => {
      streams.add(stream)
      const handler = options.accept(openConnection(stream, options))
      let over = false
      const end = (): void => {
        if (over) return
        over = true
        streams.delete(stream)
        handler.closed()
        stream.end()
      }
      stream.on('data', (batch: EntryBatch) => {
        if (batch.hlc !== undefined) options.hlc.observe(batch.hlc)
        for (const frame of batch.frames) handler.frame(frame)
      })
      stream.on('end', end)
      stream.on('error', end)
      stream.on('cancelled', end)
      stream.on('close', end)
    }
  })
  const credentials = options.credentials ?? ServerCredentials.createInsecure()
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(`${options.host}:${options.port}`, credentials, (cause, bound) => {
      if (cause === null) resolve(bound)
      else reject(cause)
    })
  })
  const cutAll = (): void => {
    for (const stream of streams) stream.destroy()
    streams.clear()
  }
  return {
    port,
    cutAll,
    close: () => {
      cutAll()
      server.forceShutdown()
    }
  }
}

/** Ms between two heartbeats unless the options say otherwise. */
export const defaultHeartbeatMs: Ms = 250
