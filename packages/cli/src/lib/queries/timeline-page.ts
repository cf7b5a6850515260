/**
 * Renders the time line as one self-contained HTML page.
 */
import type { MergedTimeline } from './merged-timeline.js'

/** Serialises data for a script element; `<` is escaped because it is the one character that could end the element. */
function safeJson (value: unknown): string {
  return JSON.stringify(value).replaceAll('<', '\\u003c')
}

const style = `
body { font: 13px system-ui, sans-serif; margin: 0; color: #1d2733; background: #fff }
header { padding: 10px 16px; border-bottom: 1px solid #d5dbe3; display: flex; gap: 12px; align-items: center; flex-wrap: wrap }
h1 { font-size: 15px; margin: 0 }
input, button { font: inherit; padding: 3px 7px }
#warn { color: #a33c00 }
#chart { overflow: auto; height: calc(100vh - 150px) }
#detail { border-top: 1px solid #d5dbe3; padding: 8px 16px; height: 64px; white-space: pre-wrap; font-family: ui-monospace, monospace }
text { font: 12px system-ui, sans-serif; fill: #1d2733 }
.row { stroke: #e3e8ee }
.arrow { stroke: #7d8fa3; fill: none; opacity: .55 }
circle { cursor: pointer }
circle:hover { stroke: #000; stroke-width: 2 }
`

// The script runs inside a function, because names such as `top` are properties of the window at the top level.
const script = `
const rowHeight = 34, left = 150, top = 24
const colors = { request: '#2563a8', load: '#b3600b', unload: '#b3600b', claim: '#6b3fa0', fence: '#6b3fa0', channel: '#a3202f', config: '#187a44', drain: '#a3202f', leaving: '#a3202f', process: '#55606e', engine: '#a3202f' }
let zoom = 1
const svg = document.getElementById('svg'), detail = document.getElementById('detail'), filter = document.getElementById('filter')
const el = (name, attrs, text) => { const node = document.createElementNS('http://www.w3.org/2000/svg', name); for (const key in attrs) node.setAttribute(key, attrs[key]); if (text) node.textContent = text; return node }
const words = event => [event.process, event.kind, event.request, event.adapter, event.upstream, event.peer, event.note].filter(Boolean).join(' ')
function draw () {
  svg.replaceChildren()
  const wanted = filter.value.trim().toLowerCase()
  const events = data.events.filter(event => words(event).toLowerCase().includes(wanted))
  const rows = [...new Set(data.events.map(event => event.process))].sort()
  const first = Math.min(...events.map(event => event.stamp.wall)), last = Math.max(...events.map(event => event.stamp.wall))
  const width = Math.max(600, document.getElementById('chart').clientWidth - left - 40) * zoom
  const x = event => left + 10 + (last === first ? 0 : (event.stamp.wall - first) / (last - first) * width) + Math.min(event.stamp.count, 20) * 0.4
  const y = event => top + rows.indexOf(event.process) * rowHeight + rowHeight / 2
  svg.setAttribute('width', left + width + 60); svg.setAttribute('height', top + rows.length * rowHeight + 30)
  rows.forEach((name, i) => { const at = top + i * rowHeight + rowHeight / 2; svg.append(el('line', { x1: left, x2: left + width + 40, y1: at, y2: at, class: 'row' }), el('text', { x: 8, y: at + 4 }, name)) })
  for (let i = 0; i <= 8 && last > first; i++) svg.append(el('text', { x: left + 10 + width * i / 8, y: 14 }, new Date(first + (last - first) * i / 8).toISOString().slice(14, 23)))
  const before = new Map()
  for (const event of events) {
    const key = event.request
    const from = key && before.get(key)
    if (from && from.process !== event.process) svg.append(el('path', { d: 'M' + x(from) + ' ' + y(from) + ' L' + x(event) + ' ' + y(event), class: 'arrow', 'marker-end': 'url(#tip)' }))
    if (key) before.set(key, event)
  }
  for (const event of events) {
    const dot = el('circle', { cx: x(event), cy: y(event), r: 4.5, fill: colors[event.kind.split('-')[0]] || '#55606e' })
    dot.append(el('title', {}, words(event)))
    dot.onclick = () => { detail.textContent = new Date(event.stamp.wall).toISOString() + '.' + event.stamp.count + '  ' + words(event); if (event.request) { filter.value = event.request; draw() } }
    svg.append(dot)
  }
  const defs = el('defs', {}); const tip = el('marker', { id: 'tip', viewBox: '0 0 6 6', refX: 6, refY: 3, markerWidth: 6, markerHeight: 6, orient: 'auto' }); tip.append(el('path', { d: 'M0 0 L6 3 L0 6 z', fill: '#7d8fa3' })); defs.append(tip); svg.append(defs)
  document.getElementById('count').textContent = events.length + ' of ' + data.events.length + ' events'
}
filter.oninput = draw
document.getElementById('in').onclick = () => { zoom = Math.min(64, zoom * 2); draw() }
document.getElementById('out').onclick = () => { zoom = Math.max(1, zoom / 2); draw() }
document.getElementById('warn').textContent = [...data.unreachable.map(name => 'not reached: ' + name), ...data.overflowed.map(name => 'incomplete: ' + name)].join('; ')
addEventListener('resize', draw)
draw()
`

/**
 * Renders the page: a row for each process, a dot for each event, an arrow wherever a
 * request moves from one process to another, with zoom and filter.
 *
 * @param merged - the events to show
 */
export function timelinePage (merged: MergedTimeline): string {
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>hazelford time line</title><style>${style}</style></head>
<body><header><h1>hazelford time line</h1><input id="filter" placeholder="filter: request, adapter, kind" size="40">
<button id="in">zoom in</button><button id="out">zoom out</button><span id="count"></span><span id="warn"></span></header>
<div id="chart"><svg id="svg"></svg></div><div id="detail">Click an event to follow its request.</div>
<script>(() => {
const data = ${safeJson(merged)}
${script}})()</script></body></html>`
}
