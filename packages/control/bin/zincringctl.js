#!/usr/bin/env node
// A separate file, as npm links it at installation, before the build has created ../dist/bin.js.
import '../dist/bin.js';
