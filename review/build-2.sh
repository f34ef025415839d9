#!/bin/sh
# Checks the stand-ins of the cases 6 to 10, which are plain JavaScript modules without dependencies: nothing has to be compiled.
# The daemons come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
test -f target/deploy/launch.cjs
