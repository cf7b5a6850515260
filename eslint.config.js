import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/generated/**', 'out/**'] },
  ...neostandard({ ts: true }),
  { rules: { '@stylistic/quote-props': 'off' } }
]
