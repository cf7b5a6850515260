/**
 * `hazelford completion`: shell completion scripts.
 */
import { exitCodes, type Report, report } from '../exit-code.js'

/**
 * Writes a completion script.
 *
 * @param shell - `bash` or `zsh`
 * @param commands - names of all commands to complete
 */
export function completion (shell: string, commands: readonly string[]): Report {
  const words = commands.join(' ')
  switch (shell) {
    case 'bash': return report(exitCodes.done, `complete -W "${words}" hazelford`)
    case 'zsh': return report(exitCodes.done, `#compdef hazelford\ncompadd ${words}`)
    default: return report(exitCodes.badInput, `No completion for "${shell}". There is bash and zsh.`)
  }
}
