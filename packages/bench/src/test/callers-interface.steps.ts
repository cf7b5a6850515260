/**
 * Tests of the caller interface without faults.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { request } from 'undici'
import type { SystemWorld } from './support/world.js'

interface ChatAnswer {
  readonly model: string
  readonly created: number
  readonly choices: readonly { readonly message: { readonly content: string } }[]
  readonly usage: { readonly prompt_tokens: number, readonly completion_tokens: number, readonly total_tokens: number }
}

function chat (world: SystemWorld, stream: boolean): ReturnType<typeof request> {
  const body = JSON.stringify({ model: 'a', messages: [{ role: 'user', content: 'p' }], max_tokens: 3, stream })
  return request(`${world.system.url}/v1/chat/completions`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
}

Then('a chat completion is answered whole and streamed, by the version in force', async function (this: SystemWorld) {
  const whole = await (await chat(this, false)).body.json() as ChatAnswer
  assert.equal(whole.model, 'a@2')
  assert.equal(whole.choices[0]!.message.content, 'a@2:0 a@2:1 a@2:2 ')
  assert.deepEqual(whole.usage, { prompt_tokens: 1, completion_tokens: 3, total_tokens: 4 })
  assert.ok(Math.abs(whole.created - Date.now() / 1_000) < 60, `created ${whole.created}`)
  const streamed = await (await chat(this, true)).body.text()
  const deltas = streamed.split('\n\n').filter(event => event.startsWith('data: {')).map(event => JSON.parse(event.slice(6)) as { model: string, created: number, choices: { delta: { content: string } }[] })
  assert.equal(deltas.map(event => event.choices[0]!.delta.content).join(''), 'a@2:0 a@2:1 a@2:2 ')
  assert.ok(deltas.every(event => event.model === 'a@2' && event.created > 0))
  assert.ok(streamed.endsWith('data: [DONE]\n\n'))
})

Then('the list of models names every version', async function (this: SystemWorld) {
  const { data } = await (await request(`${this.system.url}/v1/models`)).body.json() as { data: { id: string }[] }
  assert.deepEqual(data.map(model => model.id).sort(), ['a@1', 'a@2', 'a@3', 'b@1', 'c@1', 'd@1'])
})

Then('health and readiness are reported', async function (this: SystemWorld) {
  assert.equal((await request(`${this.system.url}/healthz`)).statusCode, 200)
  assert.equal((await request(`${this.system.url}/readyz`)).statusCode, 200)
  const leaving = this.system.entries[0]!.entry.shutdown()
  assert.equal((await request(`${this.system.url}/readyz`)).statusCode, 503)
  await leaving
})

Then('answers have a request id and a verdict', async function (this: SystemWorld) {
  const res = await request(`${this.system.url}/services/nothing/x`)
  await res.body.dump()
  assert.match(String(res.headers['x-request-id']), /^req-[0-9a-f]{24}$/)
  assert.equal(res.headers['x-hazelford-verdict'], 'not-run')
})
