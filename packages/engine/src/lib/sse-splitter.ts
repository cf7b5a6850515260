/**
 * Splits a byte stream into server-sent events.
 */

/** One event. */
export interface SseEvent {
  /** The `id` field, or undefined. */
  readonly id: number | undefined
  /** The `data` field. */
  readonly data: string
}

const separator = Buffer.from('\n\n')
const empty = Buffer.alloc(0)

function parseEvent (text: string): SseEvent {
  let id: number | undefined
  let data = ''
  for (const line of text.split('\n')) {
    if (line.startsWith('id: ')) id = Number(line.slice(4))
    else if (line.startsWith('data: ')) data += line.slice(6)
  }
  return { id, data }
}

/** Keeps the unfinished event between two reads. */
export class SseSplitter {
  private _rest: Buffer = empty

  /**
   * Takes bytes.
   *
   * @param bytes - the next read
   * @returns the events completed by it
   */
  push (bytes: Buffer): readonly SseEvent[] {
    const buffer = this._rest.length === 0 ? bytes : Buffer.concat([this._rest, bytes])
    const events: SseEvent[] = []
    let from = 0
    for (let end = buffer.indexOf(separator); end >= 0; end = buffer.indexOf(separator, from)) {
      events.push(parseEvent(buffer.toString('utf8', from, end)))
      from = end + separator.length
    }
    this._rest = from === buffer.length ? empty : buffer.subarray(from)
    return events
  }
}
