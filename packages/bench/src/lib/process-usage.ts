/**
 * Reads the processor time of another process from Linux's /proc.
 */
import { readFileSync } from 'node:fs'

/** Clock ticks a second in /proc; fixed on Linux. */
const ticksPerSecond = 100
const userTicksField = 11
const systemTicksField = 12

/**
 * Returns the processor time that a process has used so far.
 *
 * @param pid - a process on this host
 * @returns ms in user and system mode
 */
export function cpuMs (pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The process name in parentheses may contain blanks, so fields are counted from the closing parenthesis.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const ticks = Number(fields[userTicksField]) + Number(fields[systemTicksField])
  return ticks * 1_000 / ticksPerSecond
}
