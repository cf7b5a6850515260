/**
 * Server side of the channels: accepts connections from entries.
 */
import { type Clock, type HybridClock, type Ms } from '@hazelford/core'
import { ChannelService, channelOptions, type Chunk, type EntryBatch, type EntryFrame, type SidecarBatch, type SidecarFrame, SidecarOutbox } from '@hazelford/wire'
import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js'

/** Receives the frames of one connection and is notified when it closes. */
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

/** The server that entries connect to. */
export interface ChannelServer {
  readonly port: number
  /** Breaks all connections and stops listening. */
  readonly close: () => void
  /** Breaks all connections but keeps listening; for tests of reconnects. */
  readonly cutAll: () => void
}

/** Address, clocks and connection handler of the server. */
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
 * Starts the channel server.
 *
 * @param options - address, clocks and the handler of new connections
 * @returns the server, once its port is bound
 */
export async function startChannelServer (options: ChannelServerOptions): Promise<ChannelServer> {
  const server = new Server(channelOptions)
  const streams = new Set<Stream>()
  server.addService(ChannelService, {
    open: (stream: Stream) => {
      streams.add(stream)
      const handler = options.accept(openConnection(stream, options))
      let isClosed = false
      const handleClosed = (): void => {
        if (isClosed) return
        isClosed = true
        streams.delete(stream)
        handler.closed()
        stream.end()
      }
      stream.on('data', (batch: EntryBatch) => {
        if (batch.hlc !== undefined) options.hlc.observe(batch.hlc)
        for (const frame of batch.frames) handler.frame(frame)
      })
      stream.on('end', handleClosed)
      stream.on('error', handleClosed)
      stream.on('cancelled', handleClosed)
      stream.on('close', handleClosed)
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

/** Interval between two heartbeats in ms, unless the options set another. */
export const defaultHeartbeatMs: Ms = 250
