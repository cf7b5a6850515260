/**
 * Splits a byte stream into server-sent events.
 */

/** One event. Its text holds one byte in each character (latin1), as read. */
export interface SseEvent {
  /** The `id` field, or undefined. */
  readonly id: number | undefined
  /** The `data` field, with its name in front: `data: ...`. */
  readonly line: string
}

const separator = '\n\n'
const idField = 'id: '
const dataField = 'data: '

function parseEvent (text: string): SseEvent {
  // Nearly every event is an id and one line of data; finding these two by position
  // costs a fraction of splitting all lines.
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
 * Keeps the unfinished event between two reads.
 *
 * Bytes are read as latin1, which keeps each byte as it is and costs no decoding; the
 * answer leaves as the same bytes, so that UTF-8 passes unharmed.
 */
export class SseSplitter {
  private _rest = ''

  /**
   * Takes bytes.
   *
   * @param bytes - the next read
   * @returns the events completed by it
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
