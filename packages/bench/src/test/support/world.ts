/**
 * State that the steps of one scenario share.
 */
import { After, type IWorld, setDefaultTimeout } from '@cucumber/cucumber'
import { type CallerResult, closeCallers } from '../../lib/callers.js'
import type { LocalSystem } from './local-system.js'

/** State of a scenario. */
export interface SystemWorld extends IWorld {
  system: LocalSystem
  results: CallerResult[]
  pending: Promise<CallerResult>[]
}

setDefaultTimeout(20_000)

After(async function (this: SystemWorld) {
  if (this.system === undefined) return
  await closeCallers()
  await this.system.stop()
})

/** Returns the text that an engine produces for an adapter and a number of tokens. */
export function expectedText (model: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, i) => `${model}:${i} `).join('')
}
