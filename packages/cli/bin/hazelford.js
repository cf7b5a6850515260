#!/usr/bin/env node
// This file is checked in, so that an install can link the command before `dist` is built.
import '../dist/main.js'
