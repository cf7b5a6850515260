/**
 * Splits a byte stream into server-sent events.
 */

/** One event. Each character of its text holds one byte (latin1), as read. */
export interface SseEvent {
  /** The `id` field, if present. */
  readonly id: number | undefined
  /** The `data` field, including its name: `data: ...`. */
  readonly line: string
}

const separator = '\n\n'
const idField = 'id: '
const dataField = 'data: '

function parseEvent (text: string): SseEvent {
  // Nearly every event consists of an id and one data line; locating these two by position
  // costs a fraction of splitting the event into lines.
  if (text.startsWith(idField)) {
    const end = text.indexOf('\n')
    if (text.startsWith(dataField, end + 1) && !text.includes('\n', end + 1)) {
      return { id: Number(text.slice(idField.length, end)), line: text.slice(end + 1) }
    }
  }
  return parseLines(text)
}

function parseLines (text: string): SseEvent {
  let id: number | undefined
  let line = dataField
  for (const part of text.split('\n')) {
    if (part.startsWith(idField)) id = Number(part.slice(idField.length))
    else if (part.startsWith(dataField)) line += part.slice(dataField.length)
  }
  return { id, line }
}

/**
 * Splits a stream into events and keeps an incomplete event until the next read.
 *
 * Bytes are read as latin1, which preserves each byte and needs no decoding; the answer is
 * written as the same bytes, so that UTF-8 text stays intact.
 */
export class SseSplitter {
  private _rest = ''

  /**
   * Adds the bytes of one read.
   *
   * @param bytes - bytes read
   * @returns the events that they completed
   */
  push (bytes: Buffer): readonly SseEvent[] {
    const text = this._rest + bytes.toString('latin1')
    const events: SseEvent[] = []
    let from = 0
    for (let end = text.indexOf(separator); end >= 0; end = text.indexOf(separator, from)) {
      events.push(parseEvent(text.slice(from, end)))
      from = end + separator.length
    }
    this._rest = from === text.length ? '' : text.slice(from)
    return events
  }
}
