/**
 * Renders the load report as one self-contained HTML page.
 */

/** A named series with one value per time step. */
export interface Series { readonly name: string, readonly values: readonly number[] }

/** A stacked bar chart. */
export interface Plot {
  readonly title: string
  readonly series: readonly Series[]
}

/** Content of the page. */
export interface LoadPage {
  /** Seconds from the first log line to each time step. */
  readonly steps: readonly number[]
  readonly plots: readonly Plot[]
  /** Plain-text tables. */
  readonly tables: readonly string[]
}

const width = 900
const height = 160
const margin = 40
const colors = ['#2563a8', '#b3600b', '#187a44', '#a3202f', '#6b3fa0', '#55606e', '#0b8a8f', '#8f6b0b']
const style = `
body { font: 13px system-ui, sans-serif; margin: 16px; color: #1d2733; background: #fff }
h1 { font-size: 15px } h2 { font-size: 13px; margin-bottom: 4px }
pre { font: 12px ui-monospace, monospace; background: #f5f7fa; padding: 8px; overflow: auto }
text { font: 11px system-ui, sans-serif; fill: #1d2733 }
span { margin-right: 12px }
`

function escape (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;')
}

function colorOf (index: number): string { return colors[index % colors.length]! }

function * bars ({ series }: Plot, steps: readonly number[], most: number): Generator<string> {
  const step = (width - margin) / Math.max(1, steps.length)
  for (const [at, second] of steps.entries()) {
    let base = height
    for (const [index, { name, values }] of series.entries()) {
      const value = values[at] ?? 0
      const barHeight = value / most * height
      base -= barHeight
      yield `<rect x="${(margin + at * step).toFixed(1)}" y="${base.toFixed(1)}" width="${(step * 0.9).toFixed(1)}" height="${barHeight.toFixed(1)}" fill="${colorOf(index)}"><title>${escape(`${name}, from ${second.toFixed(1)} s: ${value}`)}</title></rect>`
    }
  }
}

function renderPlot (plot: Plot, steps: readonly number[]): string {
  const sums = steps.map((_, at) => plot.series.reduce((sum, { values }) => sum + (values[at] ?? 0), 0))
  const most = Math.max(1, ...sums)
  const legend = plot.series.map(({ name }, index) => `<span style="color:${colorOf(index)}">&#9632; ${escape(name)}</span>`).join('')
  const axis = `<text x="0" y="12">${most}</text><text x="${margin}" y="${height + 14}">${steps[0]?.toFixed(1) ?? 0} s</text><text x="${width - margin}" y="${height + 14}">${steps.at(-1)?.toFixed(1) ?? 0} s</text>`
  return `<h2>${escape(plot.title)}</h2><div>${legend}</div><svg width="${width}" height="${height + 20}">${[...bars(plot, steps, most)].join('')}${axis}</svg>`
}

/** Renders the page. */
export function loadPage ({ steps, plots, tables }: LoadPage): string {
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>hazelford load</title><style>${style}</style></head>
<body><h1>hazelford load</h1>${plots.map(plot => renderPlot(plot, steps)).join('')}
${tables.map(table => `<pre>${escape(table)}</pre>`).join('\n')}</body></html>`
}
