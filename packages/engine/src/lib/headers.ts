/**
 * Selects the headers of an answer to forward.
 */
import type { AnswerHeader } from './answer-sink.js'

/** Headers that apply to a single connection (RFC 9110, section 7.6.1), and `date`. */
export const hopHeaders: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'date'
])

/**
 * Headers of an answer to forward.
 *
 * @param headers - headers as received
 * @param without - further names to leave out
 */
export function answerHeaders (headers: Record<string, string | string[]>, without: readonly string[] = []): readonly AnswerHeader[] {
  const passed: AnswerHeader[] = []
  for (const [name, value] of Object.entries(headers)) {
    if (hopHeaders.has(name) || without.includes(name)) continue
    for (const one of Array.isArray(value) ? value : [value]) passed.push({ name, value: one })
  }
  return passed
}
