#!/usr/bin/env node
// Stands in the tree before the build, so that an install can link it.
import '../dist/main.js'
