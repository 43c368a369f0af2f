#!/usr/bin/env node
// npm links this file before the build has made what it loads.
import '../dist/bin.js';
