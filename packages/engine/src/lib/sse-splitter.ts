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
const lineEnd = '\n'
/** Characters of one event, and reads in which it may arrive; each read costs far more time than a character. */
const eventLimit = 2 * 1024 * 1024
const readLimit = 16 * 1024
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
  private _rest: string[] = []
  private _restLength = 0

  /** Whether the incomplete event is larger than an engine sends. */
  get isTooLarge (): boolean { return this._restLength > eventLimit || this._rest.length > readLimit }

  /**
   * Adds the bytes of one read.
   *
   * @param bytes - bytes read
   * @returns the events that they completed
   */
  push (bytes: Buffer): readonly SseEvent[] {
    const read = bytes.toString('latin1')
    const isSplit = read.startsWith(lineEnd) && this._rest.at(-1)?.endsWith(lineEnd) === true
    if (!isSplit && !read.includes(separator)) {
      this._keep(read)
      return []
    }
    const text = this._rest.join('') + read
    const events: SseEvent[] = []
    let from = 0
    for (let end = text.indexOf(separator); end >= 0; end = text.indexOf(separator, from)) {
      events.push(parseEvent(text.slice(from, end)))
      from = end + separator.length
    }
    this._rest = []
    this._restLength = 0
    if (from < text.length) this._keep(text.slice(from))
    return events
  }

  private _keep (read: string): void {
    this._rest.push(read)
    this._restLength += read.length
  }
}
