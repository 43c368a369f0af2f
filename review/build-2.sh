#!/bin/sh
# Checks that the scripts of cases 6 to 10 and their stand-ins can be read: they are plain modules for Node.js and
# need no build. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
  node --check "$file"
done
test -f target/zincring.js || { echo 'target/zincring.js is missing: run the build of the deploy file first' >&2; exit 1; }
