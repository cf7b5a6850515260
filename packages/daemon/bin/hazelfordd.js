#!/usr/bin/env node
// Committed rather than built, so that npm can link it before the first build.
import '../dist/main.js'
