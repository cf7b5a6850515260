/**
 * Renders plots of the slopes as one self-contained page.
 */
import type { Slope } from './slope.js'

const width = 360
const height = 160

function plot (slope: Slope): string {
  const mostX = Math.max(...slope.points.map(point => point.x))
  const mostY = Math.max(...slope.points.map(point => point.y), slope.base + slope.perUnit * mostX)
  const x = (value: number): string => (value / mostX * width).toFixed(1)
  const y = (value: number): string => (height - value / mostY * height).toFixed(1)
  const dots = slope.points.map(point => `<circle cx="${x(point.x)}" cy="${y(point.y)}" r="3.5" fill="#2563a8"/>`).join('')
  const line = `<line x1="0" y1="${y(slope.base)}" x2="${width}" y2="${y(slope.base + slope.perUnit * mostX)}" stroke="#b3600b"/>`
  return `<section><h2>${slope.name}</h2><p>${slope.base.toFixed(2)} + ${slope.perUnit.toPrecision(3)} ${slope.unitY} each</p>
<svg viewBox="-10 -10 ${width + 40} ${height + 40}" width="${width + 40}"><rect width="${width}" height="${height}" fill="none" stroke="#d5dbe3"/>${line}${dots}
<text x="2" y="12">${mostY.toFixed(1)} ${slope.unitY}</text><text x="${width - 110}" y="${height + 18}">${mostX} ${slope.unitX}</text></svg></section>`
}

/**
 * Renders the page.
 *
 * @param slopes - all slopes
 */
export function slopesPage (slopes: readonly Slope[]): string {
  return `<!doctype html><html lang="en"><meta charset="utf-8"><title>hazelford slopes</title>
<style>body{font:13px system-ui,sans-serif;margin:20px}section{display:inline-block;margin:0 24px 20px 0}h2{font-size:14px;margin:0}text{font:11px system-ui,sans-serif}</style>
${slopes.map(plot).join('\n')}</html>`
}
