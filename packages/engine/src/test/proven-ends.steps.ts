/**
 * Steps on answers that only the ends of their connections end.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { After, Then, When } from '@cucumber/cucumber'
import { createPlainClient, type PlainClient } from '../lib/plain-client.js'

interface CallOutcome { readonly outcome: string, readonly bytes: number }
interface EndsWorld { outcomes: CallOutcome[], close: () => Promise<void> }

const timeout = 30_000
const longestCallMs = 2_000
const busyMs = 8
const slowMs = 20
/** Reads of a large answer that a slow caller stops. */
const slowReads = 5

function keepBusy (): void {
  const until = performance.now() + busyMs
  while (performance.now() < until);
}

/** Makes a call as a caller that is `ready`, `slow` (pauses the answer) or keeps the process `busy`. */
function makeCall (client: PlainClient, path: string, upload: number, caller: string): Promise<CallOutcome> {
  return new Promise(resolve => {
    let bytes = 0
    let reads = 0
    const expiry = setTimeout(() => resolve({ outcome: 'none', bytes }), longestCallMs)
    const finish = (outcome: string): void => {
      clearTimeout(expiry)
      resolve({ outcome, bytes })
    }
    const handle = client.call({ method: upload > 0 ? 'POST' : 'GET', path, headers: [], body: Buffer.alloc(upload) }, {
      head: () => {},
      data: data => {
        bytes += data.length
        if (caller === 'busy' && ++reads <= slowReads) keepBusy()
        if (caller !== 'slow' || ++reads > slowReads) return
        handle.pause()
        setTimeout(() => handle.resume(), slowMs)
      },
      end: () => finish('complete'),
      fail: ({ verdict }) => finish(verdict),
      notLoaded: () => finish('not loaded')
    })
    if (caller === 'busy') setImmediate(keepBusy)
  })
}

When('{int} calls of a {word} caller with {int} bytes are answered with {int} bytes, then {string} after {int} ms', { timeout },
  function (this: EndsWorld, calls: number, caller: string, upload: number, size: number, kind: string, wait: number) {
    return makeCalls(this, calls, `/${kind}/${wait}/${size}`, upload, caller)
  })

When('{int} calls of a slow caller are answered with {int} bytes and their length, then {string} after {int} ms', { timeout },
  function (this: EndsWorld, calls: number, size: number, kind: string, wait: number) {
    return makeCalls(this, calls, `/${kind}/${wait}/${size}/length`, 0, 'slow')
  })

async function makeCalls (world: EndsWorld, calls: number, path: string, upload: number, caller: string): Promise<void> {
  const server = new Worker(new URL('./support/ending-server.js', import.meta.url))
  const [port] = await once(server, 'message') as [number]
  world.close = async () => { await server.terminate() }
  world.outcomes = []
  for (let n = 0; n < calls; n++) {
    // A kept connection of an earlier call may end under the next one.
    const client = createPlainClient(`http://127.0.0.1:${port}`)
    world.outcomes.push(await makeCall(client, path, upload, caller))
    await client.close()
  }
}

Then('all fail as ones that may have run', function (this: EndsWorld) {
  assert.deepEqual(this.outcomes.filter(({ outcome }) => outcome !== 'may-have-run'), [])
})

Then('all are complete with {int} bytes', function (this: EndsWorld, size: number) {
  assert.deepEqual(this.outcomes.filter(({ outcome, bytes }) => outcome !== 'complete' || bytes !== size), [])
})

After(async function (this: EndsWorld) { await this.close?.() })
