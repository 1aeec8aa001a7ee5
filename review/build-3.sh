#!/bin/sh
# The stand-ins of review/11 to review/15 are plain modules of Node.js without dependencies, in
# review/lib-3 and beside each script. They need no build; this checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 2
done
