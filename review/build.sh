#!/usr/bin/env bash
# The stand-ins and cases are plain JavaScript and need no compiler; this checks that Node.js can read them.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins/*.mjs review/[0-9]*/*.mjs; do
  node --check "$file"
done
test -f target/zincring.js || { echo 'target/zincring.js is missing: run the build of deploy/system.toml first' >&2; exit 1; }
