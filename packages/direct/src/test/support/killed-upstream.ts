/**
 * An upstream in a process of its own, which is killed within an answer without a length.
 */
import { type AddressInfo, createServer } from 'node:net'

const killAfterMs = 20

const server = createServer(socket => {
  socket.on('error', () => {})
  socket.on('data', () => {
    socket.write('HTTP/1.1 200 OK\r\n\r\npart')
    setTimeout(() => process.kill(process.pid, 'SIGKILL'), killAfterMs)
  })
})

server.listen({ host: '127.0.0.1', port: 0, backlog: 1_024 }, () => process.send!((server.address() as AddressInfo).port))
