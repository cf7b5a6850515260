/**
 * A link between two machines that can be cut. It keeps to what TCP does over a partition:
 *
 * - What was sent on a channel that was open before the cut is sent again after pauses that double (RFC 6298, 0.2 s first), so
 *   it arrives with the first repetition after the link is whole again; also when its sender has closed the channel meanwhile.
 * - It is lost if its sender resets the channel.
 * - A channel that was opened during the cut opens when the link is whole again, unless it was given up before.
 */
import { connect, createServer } from 'node:net'

const firstRepetitionMs = 200

/** Ms from the start of the cut part until it arrives. */
function arrivalOf (sentAt, healedAt) {
  let at = sentAt
  for (let pause = firstRepetitionMs; at < healedAt; pause *= 2) at += pause
  return at
}

/** One direction of one channel. */
class Direction {
  held = []
  isLost = false

  constructor (link, from, to) {
    this.link = link
    this.to = to
    from.on('data', bytes => this.pass({ bytes }))
    from.on('end', () => this.pass({}))
    from.on('error', () => this.reset())
  }

  pass (part) {
    if (this.link.isCut || this.held.length > 0) this.held.push({ ...part, at: performance.now() })
    else this.deliver(part)
  }

  deliver ({ bytes }) {
    if (this.to.destroyed || this.isLost) return
    if (bytes === undefined) this.to.end()
    else this.to.write(bytes)
  }

  reset () {
    this.isLost = true
    this.held = []
    if (!this.link.isCut) this.to.resetAndDestroy()
  }

  heal (healedAt) {
    if (this.isLost) return this.to.resetAndDestroy()
    if (this.held.length === 0) return
    setTimeout(() => {
      if (this.link.isCut) return
      const held = this.held
      this.held = []
      for (const part of held) this.deliver(part)
    }, Math.max(0, arrivalOf(this.held[0].at, healedAt) - performance.now()))
  }
}

export class TcpLink {
  isCut = false
  channels = new Set()
  waiting = new Set()

  /** @param target - returns the port at its far end */
  constructor (target) { this.target = target }

  async listen () {
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, near => this.join(near))
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.port = this.server.address().port
    return this
  }

  close () {
    this.server.close()
    for (const { near, far } of this.channels) {
      near.destroy()
      far.destroy()
    }
    for (const { near } of this.waiting) near.destroy()
  }

  join (near) {
    if (!this.isCut) return this.open(near, [])
    const waiting = { near, parts: [] }
    this.waiting.add(waiting)
    near.on('data', bytes => { if (this.waiting.has(waiting)) waiting.parts.push(bytes) })
    const giveUp = () => {
      if (this.waiting.delete(waiting)) near.destroy()
    }
    near.on('end', giveUp)
    near.on('error', giveUp)
  }

  open (near, parts) {
    const far = connect({ port: this.target(), host: '127.0.0.1', allowHalfOpen: true, noDelay: true })
    const channel = { near, far, there: new Direction(this, near, far), back: new Direction(this, far, near) }
    this.channels.add(channel)
    for (const bytes of parts) channel.there.pass({ bytes })
    const closed = () => { if (near.destroyed && far.destroyed) this.channels.delete(channel) }
    near.on('close', closed)
    far.on('close', closed)
  }

  cut () { this.isCut = true }

  heal () {
    this.isCut = false
    const healedAt = performance.now()
    for (const { there, back } of this.channels) {
      there.heal(healedAt)
      back.heal(healedAt)
    }
    const waiting = [...this.waiting]
    this.waiting.clear()
    for (const { near, parts } of waiting) this.open(near, parts)
  }
}
