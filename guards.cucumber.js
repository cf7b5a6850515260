export default {
  import: ['packages/*/dist/test/*.steps.js', 'platform/dist/test/*.steps.js'],
  format: ['summary'],
  publishQuiet: true
}
