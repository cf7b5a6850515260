export default {
  paths: ['packages/*/src/test/*.feature', 'platform/src/test/*.feature'],
  import: ['packages/*/dist/test/*.steps.js', 'platform/dist/test/*.steps.js'],
  format: ['summary', 'json:out/cucumber.json'],
  // Beside load a soak can leave a socket behind that the kernel no longer knows; the run would then never end, with all scenarios done.
  forceExit: true,
  publishQuiet: true
}
