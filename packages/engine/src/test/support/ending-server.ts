/**
 * A server in a thread of its own whose answers only the end of their connections ends. A path `/reset/5/1000` asks for 1,000
 * bytes and a reset 5 ms later, `/reset/5/1000/length` for the same with a length.
 */
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { parentPort } from 'node:worker_threads'

const head = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
const pathOf = /^\w+ \/(\w+)\/(\d+)\/(\d+)(\/length)?/

function endAs (kind: string, socket: Socket): void {
  if (kind === 'reset') socket.resetAndDestroy()
  else socket.end()
}

const server = createServer({ noDelay: true, allowHalfOpen: true }, socket => {
  socket.on('error', () => {})
  socket.once('data', request => {
    const [, kind, wait, size, hasLength] = pathOf.exec(request.toString('latin1'))!
    const field = hasLength === undefined ? '' : `Content-Length: ${size}\r\n`
    socket.write(`${head}${field}\r\n` + 'x'.repeat(Number(size)), () => {
      if (wait === '0') endAs(kind!, socket)
      else setTimeout(() => endAs(kind!, socket), Number(wait))
    })
  })
})
server.listen(0, '127.0.0.1', () => parentPort!.postMessage((server.address() as AddressInfo).port))
