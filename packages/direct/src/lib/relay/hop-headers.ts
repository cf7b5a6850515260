/**
 * Decides which headers are forwarded from one connection to the next.
 */

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that frame a body. */
const hopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/** Names that a `Connection` header declares to be hop-by-hop. */
function nominated (headers: readonly string[]): ReadonlySet<string> | undefined {
  let names: Set<string> | undefined
  for (let at = 0; at < headers.length; at += 2) {
    if (headers[at]!.toLowerCase() !== 'connection') continue
    for (const name of headers[at + 1]!.split(',')) (names ??= new Set()).add(name.trim().toLowerCase())
  }
  return names
}

/**
 * Removes hop-by-hop headers.
 *
 * @param headers - names and values in turn, as received
 * @returns the others, as received
 */
export function endToEndHeaders (headers: readonly string[]): string[] {
  const own = nominated(headers)
  const passed: string[] = []
  for (let at = 0; at < headers.length; at += 2) {
    const name = headers[at]!.toLowerCase()
    if (!hopHeaders.has(name) && own?.has(name) !== true) passed.push(headers[at]!, headers[at + 1]!)
  }
  return passed
}
