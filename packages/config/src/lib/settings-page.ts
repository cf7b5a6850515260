/**
 * Generates the reference page of settings and configuration from their schemas.
 */
import { z } from 'zod'
import { configSchema } from './schema.js'
import { settingsSchema } from './settings.js'

interface JsonSchema {
  readonly type?: string
  readonly const?: unknown
  readonly enum?: readonly unknown[]
  readonly default?: unknown
  readonly minimum?: number
  readonly maximum?: number
  readonly minLength?: number
  readonly properties?: Readonly<Record<string, JsonSchema>>
  readonly required?: readonly string[]
  readonly additionalProperties?: JsonSchema | boolean
  readonly anyOf?: readonly JsonSchema[]
  readonly oneOf?: readonly JsonSchema[]
  readonly items?: JsonSchema
}

function typeOf (schema: JsonSchema): string {
  if (schema.const !== undefined) return `\`"${String(schema.const)}"\``
  if (schema.enum !== undefined) return schema.enum.map(value => `\`"${String(value)}"\``).join(', ')
  if (schema.anyOf !== undefined) return schema.anyOf.map(typeOf).join(' or ')
  if (schema.type === 'array') return `list of ${typeOf(schema.items ?? {})}`
  const range = schema.maximum === undefined || schema.maximum > 1e12 ? '' : ` from ${schema.minimum ?? 0} to ${schema.maximum}`
  const length = schema.minLength !== undefined && schema.minLength > 1 ? ` of at least ${schema.minLength} characters` : ''
  return `${schema.type ?? 'table'}${range}${length}`
}

function rows (schema: JsonSchema, prefix: string): readonly string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([key, part]) => {
    const path = prefix === '' ? key : `${prefix}.${key}`
    if (part.properties !== undefined) return rows(part, path)
    if (typeof part.additionalProperties === 'object') {
      const each = part.additionalProperties
      return each.properties === undefined ? [`| \`${path}.NAME\` | ${typeOf(each)} | |`] : rows(each, `${path}.NAME`)
    }
    const fallback = part.default !== undefined ? `\`${JSON.stringify(part.default)}\`` : schema.required?.includes(key) === true ? 'required' : ''
    return [`| \`${path}\` | ${typeOf(part)} | ${fallback} |`]
  })
}

const head = '| key | value | default |\n|---|---|---|'

/** Generates the page as Markdown. */
export function settingsPage (): string {
  const toJson = (schema: z.ZodType): JsonSchema => z.toJSONSchema(schema, { io: 'input' }) as JsonSchema
  const roles = toJson(settingsSchema).oneOf ?? toJson(settingsSchema).anyOf ?? []
  const settings = roles.map(role => `## Settings of a daemon with \`role = "${String(role.properties?.role?.const)}"\`\n\n${head}\n${rows(role, '').join('\n')}`)
  return `# Settings and configuration

Made from the schemas by \`npm run settings-page\`; a test compares it with them. Names ending in \`_ms\` are milliseconds.
The table \`statsd\` may be left out; then nothing is sent.

${settings.join('\n\n')}

## The operators' configuration

${head}
${rows(toJson(configSchema), '').join('\n')}
`
}
