import neostandard from 'neostandard'

export default [
  { ignores: ['**/dist/**', '**/generated/**', 'out/**', 'target/**', 'journal/**'] },
  ...neostandard({ ts: true }),
  { rules: { '@stylistic/quote-props': 'off' } }
]
