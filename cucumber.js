export default {
  paths: ['packages/*/src/test/*.feature', 'platform/src/test/*.feature'],
  import: ['packages/*/dist/test/*.steps.js', 'platform/dist/test/*.steps.js'],
  format: ['summary', 'json:out/cucumber.json'],
  publishQuiet: true
}
