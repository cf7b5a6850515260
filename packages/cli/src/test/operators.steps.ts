/**
 * Failure tests of configuration changes, against an in-memory key-value service.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import { configKey } from '@hazelford/config'
import type { CasOutcome, KvClient, KvFailure, KvRead } from '@hazelford/consul'
import type { CliContext } from '../lib/cli-context.js'
import { apply } from '../lib/commands/apply.js'
import { rollback } from '../lib/commands/rollback.js'
import { ConfigStore } from '../lib/config-store.js'
import { exitCodes, type Report } from '../lib/exit-code.js'
import { show } from '../lib/queries/config-queries.js'

const firstText = '[services.chat]\nkind = "model"\n'
const changedText = `${firstText}class = "draft"\n`
const otherText = `${firstText}class = "receipt"\n`
const lost: KvFailure = { kind: 'unknown', message: 'no reply' }

/** What happens to the next write of the configuration. */
type WriteFault = 'none' | 'lost' | 'lost-then-another' | 'all-lost' | 'refused' | 'late'

/** An in-memory key-value service with faults for writes of the configuration. */
class MemoryKv {
  readonly data = new Map<string, { value: string, modifyIndex: number }>()
  fault: WriteFault = 'none'
  writeAnother: () => void = () => {}
  private _readsFail = false
  private _index = 0

  readonly client: KvClient = {
    read: key => this._readsFail ? errAsync(lost) : okAsync(this._read(key)),
    watch: key => okAsync(this._read(key)),
    list: prefix => okAsync([...this.data].filter(([key]) => key.startsWith(prefix)).map(([key, stored]) => ({ key, ...stored }))),
    cas: (key, index, value) => this._cas(key, index, value),
    remove: () => okAsync('conflict')
  }

  store (key: string, index: number, value: string): CasOutcome {
    if ((this.data.get(key)?.modifyIndex ?? 0) !== index) return 'conflict'
    this.data.set(key, { value, modifyIndex: ++this._index })
    return 'stored'
  }

  private _read (key: string): KvRead {
    const stored = this.data.get(key)
    return { entry: stored === undefined ? undefined : { key, ...stored }, index: this._index }
  }

  private _cas (key: string, index: number, value: string): ResultAsync<CasOutcome, KvFailure> {
    if (key !== configKey) return okAsync(this.store(key, index, value))
    const { fault } = this
    this.fault = 'none'
    switch (fault) {
      case 'none': return okAsync(this.store(key, index, value))
      case 'refused': return errAsync({ kind: 'not-applied', message: 'refused' })
      case 'late': return errAsync(lost)
      case 'all-lost':
        this._readsFail = true
        return errAsync(lost)
      case 'lost':
        this.store(key, index, value)
        return errAsync(lost)
      case 'lost-then-another':
        this.store(key, index, value)
        this.writeAnother()
        return errAsync(lost)
    }
  }
}

let kv: MemoryKv
let reports: Report[]

function operator (author: string): CliContext {
  // There is no host list, so the check against running processes is skipped.
  return { connection: { kvUrl: '', hostListUrl: 'http://127.0.0.1:9', token: '' }, store: new ConfigStore(kv.client), author, wall: () => 0, progress: () => {} }
}

const options = { wait: false, dryRun: false, file: 'week.toml' }

async function currentRevision (): Promise<number | undefined> {
  return (await new ConfigStore(kv.client).read())._unsafeUnwrap().doc?.revision
}

Given('revision 1 is in the key-value service', async () => {
  kv = new MemoryKv()
  reports = [await apply(operator('ann'), firstText, options)]
  assert.equal(reports[0]!.code, exitCodes.done)
})

let editedText: string

Given('two operators have read it for editing', async () => {
  editedText = (await show(operator('ann'), undefined)).text
})

When('both apply their change', async () => {
  reports = [
    await apply(operator('ann'), `${editedText}class = "draft"\n`, options),
    await apply(operator('ben'), `${editedText}class = "receipt"\n`, options)
  ]
})

Then('the first is accepted as revision 2', () => {
  assert.equal(reports[0]!.code, exitCodes.done)
  assert.match(reports[0]!.text, /Revision 2 is accepted/)
})

Then('the second gets a conflict with a diff, and changes nothing', async () => {
  assert.equal(reports[1]!.code, exitCodes.conflict)
  assert.match(reports[1]!.text, /Revision 2 by ann came first/)
  assert.match(reports[1]!.text, /-class = "draft"\n\+class = "receipt"/)
  assert.equal(await currentRevision(), 2)
})

async function applyWith (fault: WriteFault): Promise<void> {
  kv.fault = fault
  reports = [await apply(operator('ann'), changedText, options)]
}

When('an operator applies a change and the write takes effect but its reply is lost', () => applyWith('lost'))
When('an operator applies a change and the write is lost and reading back fails too', () => applyWith('all-lost'))
When('an operator applies a change and the write is refused', () => applyWith('refused'))
When('an operator applies a change and the write is late and takes effect after reading back', () => applyWith('late'))

When('an operator applies a change and the write takes effect, its reply is lost, another follows', async () => {
  kv.writeAnother = () => {
    const stored = kv.data.get(configKey)!
    const applied = JSON.parse(stored.value) as { revision: number, writeId: string }
    const next = { ...applied, revision: applied.revision + 1, writeId: 'of-ben', author: 'ben', previousWriteId: applied.writeId }
    kv.store(configKey, stored.modifyIndex, JSON.stringify(next))
  }
  await applyWith('lost-then-another')
})

const expectedReports: Readonly<Record<string, readonly [number, RegExp]>> = {
  'accepted': [exitCodes.done, /Revision 2 is accepted/],
  'replaced': [exitCodes.done, /Revision 2 was accepted, and ben replaced it by revision 3/],
  'unknown': [exitCodes.unknown, /It is unknown whether the change took effect/],
  'nothing was changed': [exitCodes.unavailable, /Nothing was changed/],
  'invalid text': [exitCodes.badInput, /week.toml:2: services.chat.kind/]
}

Then('the operator gets the report {string}', (kind: string) => {
  const [code, text] = expectedReports[kind]!
  assert.equal(reports[0]!.code, code, reports[0]!.text)
  assert.match(reports[0]!.text, text)
})

When('an operator applies a change', async () => { reports = [await apply(operator('ann'), changedText, options)] })
When('an operator rolls back to revision 1', async () => { reports = [await rollback(operator('ann'), 1, false)] })
When('an operator applies an invalid text', async () => { reports = [await apply(operator('ann'), firstText.replace('model', 'modle'), options)] })

Then('revision 3 has the text of revision 1', async () => {
  const doc = (await new ConfigStore(kv.client).read())._unsafeUnwrap().doc!
  assert.deepEqual([doc.revision, doc.text], [3, firstText])
  assert.notEqual(doc.text, otherText)
})

Then('revision 1 is still in force', async () => assert.equal(await currentRevision(), 1))
