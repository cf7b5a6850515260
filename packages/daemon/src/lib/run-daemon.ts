/**
 * Runs one daemon in the role that its settings specify.
 */
import { assertNever } from '@hazelford/core'
import type { EntrySettings, Settings, SidecarSettings } from '@hazelford/config'
import { createEngineClient, createPlainClient } from '@hazelford/engine'
import { Entry, serveCallers } from '@hazelford/entry'
import { createHostListClient } from '@hazelford/consul'
import { Sidecar, type UpstreamClient } from '@hazelford/sidecar'
import { createProcessParts, type ProcessParts } from './process-parts.js'
import { serveOperators } from './serve-operators.js'

/** A running daemon. */
export interface RunningDaemon {
  readonly port: number
  readonly operatorPort: number
  /** Shuts down gracefully: finishes the open requests first. */
  readonly shutdown: () => Promise<void>
}

async function runEntry (settings: EntrySettings, parts: ProcessParts): Promise<RunningDaemon> {
  const entry = new Entry({
    name: settings.name,
    zone: settings.zone,
    hostList: createHostListClient(settings.host_list_url),
    maxBodyBytes: settings.max_body_bytes,
    maxOpenRequests: settings.max_open_requests,
    balancerNoticeMs: settings.balancer_notice_ms,
    ...parts
  })
  entry.start()
  const callers = await serveCallers(entry, settings.listen.host, settings.listen.port)
  const operators = await serveOperators({ status: () => entry.status(), events: parts.events }, settings.operator.token, settings.operator.host, settings.operator.port)
  return {
    port: callers.port,
    operatorPort: operators.port,
    shutdown: async () => {
      await entry.shutdown()
      await callers.close()
      operators.close()
    }
  }
}

function createUpstreamClient (settings: SidecarSettings): UpstreamClient {
  return settings.upstream_kind === 'model'
    ? { kind: 'model', engine: createEngineClient(settings.upstream_url) }
    : { kind: 'plain', plain: createPlainClient(settings.upstream_url) }
}

async function runSidecar (settings: SidecarSettings, parts: ProcessParts): Promise<RunningDaemon> {
  const sidecar = new Sidecar({
    name: settings.name,
    zone: settings.zone,
    upstream: settings.upstream,
    client: createUpstreamClient(settings),
    leaseMs: settings.lease_ms,
    ...parts
  })
  const port = await sidecar.listen(settings.listen.host, settings.listen.port)
  const operators = await serveOperators({ status: () => sidecar.status(), events: parts.events }, settings.operator.token, settings.operator.host, settings.operator.port)
  return {
    port,
    operatorPort: operators.port,
    shutdown: async () => {
      await sidecar.shutdown()
      operators.close()
    }
  }
}

/**
 * Starts a daemon.
 *
 * @param settings - validated settings
 * @returns the daemon, once it listens
 */
export async function runDaemon (settings: Settings): Promise<RunningDaemon> {
  const parts = createProcessParts(settings)
  const { log } = parts
  const daemon = await start(settings, parts)
  log.info('daemon', 'listening.', { role: settings.role, port: daemon.port, operatorPort: daemon.operatorPort })
  return daemon
}

function start (settings: Settings, parts: ProcessParts): Promise<RunningDaemon> {
  switch (settings.role) {
    case 'entry': return runEntry(settings, parts)
    case 'sidecar': return runSidecar(settings, parts)
    default: return assertNever(settings)
  }
}
