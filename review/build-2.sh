#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are programs of Node.js without dependencies, so there is
# nothing to compile; this checks that each can be read.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
