/**
 * Makes the compiler prove that a switch covers every variant.
 *
 * @param value - what is left after every case
 * @returns never; throws when a value of an unknown kind comes in at run time
 */
export function assertNever (value: never): never {
  throw new Error(`Unhandled variant ${JSON.stringify(value)}. Add a case for it where this was thrown.`)
}
