/**
 * Reports that are made of the views of all entries.
 */
import type { OperatorView } from '@hazelford/core'
import { type EntryViews, queryEntries, type SilentEntry } from '../entry-views.js'
import { exitCodes, type Report, report } from '../exit-code.js'
import { formatTable } from '../table.js'

/** A column of a table: its name and the text of a row's cell. */
export type Column<Row> = readonly [string, (row: Row) => string]

function silentTable (silent: readonly SilentEntry[]): readonly string[] {
  return silent.length === 0 ? [] : [formatTable(['no answer from entry', 'cause'], silent.map(({ entry, cause }) => [entry, cause]))]
}

function omittedNote (omitted: number): readonly string[] {
  return omitted === 0 ? [] : [`Entries left out up to ${omitted} rows to bound their answers.`]
}

/**
 * Makes a report of rows.
 *
 * @param found - the entries' answers
 * @param rows - as merged
 * @param columns - of the table
 * @param omitted - number of rows that an entry left out of its answer
 */
export function rowReport<Row> ({ views, silent }: EntryViews, rows: readonly Row[], columns: readonly Column<Row>[], omitted: (view: OperatorView) => number): Report {
  const left = Math.max(0, ...views.map(omitted))
  const table = formatTable(columns.map(([name]) => name), rows.map(row => columns.map(([, cell]) => cell(row))))
  const text = [table, ...omittedNote(left), ...silentTable(silent)].join('\n\n')
  return report(exitCodes.done, text, { rows, silent, omitted: left })
}

/**
 * Queries all entries and reports on their answers.
 *
 * @param addresses - of entries to ask first
 * @param make - makes the report
 */
export async function entryReport (addresses: readonly string[], make: (found: EntryViews) => Report): Promise<Report> {
  if (addresses.length === 0) return report(exitCodes.badInput, 'Give --entry HOST:PORT, the address at which an entry listens for its peers.')
  const found = await queryEntries(addresses)
  if (found.views.length === 0) return report(exitCodes.unavailable, `No entry answers.\n\n${silentTable(found.silent).join('\n')}`, found)
  return make(found)
}
