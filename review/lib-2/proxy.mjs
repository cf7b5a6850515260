/**
 * A link between the entries and one server. While it is cut, nothing passes in either direction; what lies on it arrives
 * once it is whole again, in order, the ends of channels too.
 */
import { connect, createServer } from 'node:net'

export class Link {
  isCut = false
  pairs = new Set()

  constructor (targetPort) { this.targetPort = targetPort }

  async listen () {
    this.server = createServer({ allowHalfOpen: true, pauseOnConnect: true }, near => this.join(near))
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
    this.port = this.server.address().port
  }

  close () {
    this.server.close()
    for (const { near, far } of this.pairs) {
      near.destroy()
      far?.destroy()
    }
  }

  join (near) {
    const pair = { near, far: undefined }
    this.pairs.add(pair)
    near.setNoDelay(true)
    near.on('error', () => pair.far?.resetAndDestroy())
    near.on('close', () => {
      this.pairs.delete(pair)
      if (!this.isCut) pair.far?.destroy()
    })
    if (!this.isCut) this.open(pair)
  }

  open (pair) {
    const { near } = pair
    const far = pair.far = connect({ port: this.targetPort, host: '127.0.0.1', allowHalfOpen: true, noDelay: true })
    far.on('error', () => near.resetAndDestroy())
    near.on('data', bytes => { if (!far.write(bytes)) near.pause() })
    far.on('drain', () => { if (!this.isCut) near.resume() })
    far.on('data', bytes => { if (!near.write(bytes)) far.pause() })
    near.on('drain', () => { if (!this.isCut) far.resume() })
    near.on('end', () => far.end())
    far.on('end', () => near.end())
    near.resume()
  }

  cut () {
    this.isCut = true
    for (const { near, far } of this.pairs) {
      near.pause()
      far?.pause()
    }
  }

  heal () {
    this.isCut = false
    for (const pair of this.pairs) {
      if (pair.near.destroyed) continue
      if (pair.far === undefined) this.open(pair)
      else {
        pair.near.resume()
        pair.far.resume()
      }
    }
  }
}
