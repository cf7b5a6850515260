/**
 * Makes the compiler check that a switch covers every variant.
 *
 * @param value - the switched value, of type `never` when every case is covered
 * @returns never; throws when a value of an unknown kind occurs at run time
 */
export function assertNever (value: never): never {
  throw new Error(`Unhandled variant ${JSON.stringify(value)}. Add a case for it where this was thrown.`)
}
