#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
npx esbuild test/standins/platform/store.ts --bundle --platform=node --format=esm --target=node20 \
  --outfile=target/review/store.mjs --log-level=warning
