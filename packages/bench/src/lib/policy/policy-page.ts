/**
 * Renders the plots of the policy benchmark as one self-contained page.
 */
import type { PolicyRow } from './policy-row.js'

const width = 560
const height = 150
const names = ['naive', 'hash', 'hazelford'] as const
const colors = { naive: '#a3202f', hash: '#b3600b', hazelford: '#2563a8' } as const

function line (values: readonly number[], most: number, color: string): string {
  const points = values.map((value, i) => `${(i / Math.max(1, values.length - 1) * width).toFixed(1)},${(height - value / most * height).toFixed(1)}`)
  return `<polyline points="${points.join(' ')}" fill="none" stroke="${color}" stroke-width="2"/>`
}

function plot (row: PolicyRow): string {
  const most = Math.max(1, ...names.flatMap(name => row[name].stallSeries))
  const lines = names.map(name => line(row[name].stallSeries, most, colors[name])).join('')
  const legend = names.map(name => `<span style="color:${colors[name]}">${name}: ${row[name].stalledSeconds.toFixed(0)} s stalled, batch ${(100 * row[name].batchEfficiency).toFixed(0)} %</span>`).join(' · ')
  return `<section><h2>${row.deployment}, ${row.condition}</h2><p>${legend} · bound: ${row.bound.stalledSeconds.toFixed(0)} s, ${(100 * row.bound.batchEfficiency).toFixed(0)} %</p>
<svg viewBox="-40 -10 ${width + 60} ${height + 40}" width="${width + 60}"><rect width="${width}" height="${height}" fill="none" stroke="#d5dbe3"/>${lines}
<text x="-36" y="10">${most.toFixed(0)} s</text><text x="0" y="${height + 18}">stalled seconds of the requests that arrive in each 10 s</text></svg></section>`
}

/**
 * Renders the page.
 *
 * @param rows - results of all conditions
 */
export function policyPage (rows: readonly PolicyRow[]): string {
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>hazelford policy benchmark</title>
<style>body{font:13px system-ui,sans-serif;margin:20px}section{display:inline-block;margin:0 24px 20px 0}h2{font-size:14px;margin:0}text{font:11px system-ui,sans-serif}</style>
${rows.map(plot).join('\n')}</html>`
}
