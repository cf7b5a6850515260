/**
 * Processor time of another process, as Linux counts it.
 */
import { readFileSync } from 'node:fs'

/** Clock ticks a second in /proc; fixed on Linux. */
const ticksPerSecond = 100
const userTicksField = 11
const systemTicksField = 12

/**
 * Processor time used so far.
 *
 * @param pid - a process of this machine
 * @returns ms in user and system mode
 */
export function cpuMs (pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The name in parentheses may hold blanks; fields are counted from behind it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[userTicksField]) + Number(fields[systemTicksField])
  return ticks * 1_000 / ticksPerSecond
}
