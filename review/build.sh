#!/bin/sh
# Builds the stand-ins that the scripts start. The project's own stand-in of the store is compiled by the build of the deploy
# file, which compiles the whole tree; this compiles it again only if it is not there. The others are plain JavaScript.
set -e
cd "$(dirname "$0")/.."
[ -f target/bench/platform/store.js ] || npx tsc --outDir target
for file in review/lib/*.mjs review/[1-5]/*.mjs; do node --check "$file"; done
