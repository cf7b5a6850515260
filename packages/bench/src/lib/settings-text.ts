/**
 * Generates settings texts for the daemons of a launcher.
 */
import { launcherToken } from './daemon-process.js'

/** Addresses that all daemons of a fleet share. */
export interface FleetAddresses {
  readonly kvUrl: string
  readonly hostListUrl: string
}

function commonSettings (name: string, zone: string, fleet: FleetAddresses, port: number): string {
  return `name = "${name}"
zone = "${zone}"
kv_url = "${fleet.kvUrl}"
log_level = "warn"
listen = { port = ${port} }
operator = { token = "${launcherToken}" }
`
}

/** Generates the settings of an entry. */
export function entrySettings (name: string, zone: string, fleet: FleetAddresses, balancerNoticeMs = 100): string {
  return `role = "entry"
${commonSettings(name, zone, fleet, 0)}host_list_url = "${fleet.hostListUrl}"
balancer_notice_ms = ${balancerNoticeMs}
`
}

/** The upstream that a sidecar serves. */
export interface UpstreamAddress {
  readonly name: string
  readonly kind: 'model' | 'plain'
  readonly url: string
}

/** Generates the settings of a sidecar. */
export function sidecarSettings (name: string, zone: string, fleet: FleetAddresses, upstream: UpstreamAddress, port = 0): string {
  return `role = "sidecar"
${commonSettings(name, zone, fleet, port)}upstream = "${upstream.name}"
upstream_kind = "${upstream.kind}"
upstream_url = "${upstream.url}"
`
}
