/**
 * `npm run bench -- policy`: compares hazelford's decisions with the policies that users would
 * otherwise build, on the same arrivals.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { lowerBound } from './policy/bound.js'
import { type Conditions, type Deployment, drawArrivals, kalgoorlie, vozikom } from './policy/deployment.js'
import { type Outcome, runExperiment } from './policy/experiment.js'
import { createHazelfordPolicy } from './policy/hazelford-policy.js'
import { policyPage } from './policy/policy-page.js'
import type { PolicyRow } from './policy/policy-row.js'
import { createRendezvousPolicy, createNaivePolicy } from './policy/simple-policies.js'

const seconds = 240

const conditions: readonly (readonly [string, Partial<Conditions>])[] = [
  ['50 % load', { load: 0.5 }],
  ['80 % load', {}],
  ['110 % load', { load: 1.1 }],
  ['popularity shift', { shiftAt: 120 }],
  ['engine restart', { restartAt: 120 }],
  ['store at half rate', { storeSlowness: 2 }],
  ['10 % of loads fail', { failShare: 0.1 }],
  ['reports 1 s late', { reportMs: 1_000 }],
  ['key-value service down', { kvDown: true }]
]

function runRow (deployment: Deployment, condition: string, part: Partial<Conditions>, seed: number): PolicyRow {
  const full: Conditions = { load: 0.8, seconds, seed, ...part }
  const arrivals = drawArrivals(deployment, full)
  return {
    deployment: deployment.name,
    condition,
    naive: runExperiment(createNaivePolicy, deployment, full, arrivals),
    hash: runExperiment(createRendezvousPolicy, deployment, full, arrivals),
    hazelford: runExperiment(createHazelfordPolicy, deployment, full, arrivals),
    bound: lowerBound(arrivals, deployment, full.storeSlowness ?? 1)
  }
}

function cells (outcome: Outcome): readonly string[] {
  return [
    outcome.stalledSeconds.toFixed(0), outcome.stall.p50.toFixed(0), outcome.stall.p95.toFixed(0), outcome.stall.p99.toFixed(0),
    `${(100 * outcome.batchEfficiency).toFixed(1)} %`, outcome.tokensPerBusySecond.toFixed(0),
    outcome.firstToken.receipt.p99.toFixed(0), outcome.firstToken.interactive.p95.toFixed(0), outcome.firstToken.draft.p95.toFixed(0),
    String(outcome.finished), String(outcome.refused), String(outcome.retried), String(outcome.loads), String(outcome.reloads)
  ]
}

const head = ['policy', 'stalled s', 'p50', 'p95', 'p99', 'batch', 'tok/busy s', 'receipt p99', 'inter. p95', 'draft p95', 'finished', 'refused', 'retried', 'loads', 'reloads']

function table (row: PolicyRow): string {
  const lines = [
    ['naive', ...cells(row.naive)], ['hash', ...cells(row.hash)], ['hazelford', ...cells(row.hazelford)],
    ['bound', row.bound.stalledSeconds.toFixed(0), '', '', '', `${(100 * row.bound.batchEfficiency).toFixed(1)} %`, '', '', '', '', '', '', '', String(row.bound.loads), '']
  ]
  const all = [head, ...lines]
  const widths = head.map((_, i) => Math.max(...all.map(line => line[i]!.length)))
  return all.map(line => line.map((cell, i) => i === 0 ? cell.padEnd(widths[i]!) : cell.padStart(widths[i]!)).join('  ')).join('\n')
}

/**
 * Runs all conditions, prints tables, and writes JSON and a page with plots to a folder.
 *
 * @param print - prints one line
 * @param folder - output folder
 * @param seed - seed of arrivals and random choices
 */
export function benchPolicy (print: (line: string) => void, folder: string, seed: number): readonly PolicyRow[] {
  const rows: PolicyRow[] = []
  for (const deployment of [vozikom, kalgoorlie]) {
    for (const [condition, part] of conditions) {
      const row = runRow(deployment, condition, part, seed)
      rows.push(row)
      print(`${deployment.name}, ${condition}: ${row.hazelford.arrived} requests in ${seconds} s`)
      print(table(row))
      print('')
    }
  }
  mkdirSync(folder, { recursive: true })
  writeFileSync(`${folder}/policy.json`, JSON.stringify(rows, undefined, 2))
  writeFileSync(`${folder}/policy.html`, policyPage(rows))
  return rows
}
