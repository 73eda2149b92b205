#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are plain modules in review/common-2, so
# that this only checks that they, and the build of the deploy file, are there.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -x target/node ] && [ -f target/jackdawcove.cjs ] || node platform/bundle.mjs
for module in review/common-2/*.mjs review/{6,7,8,9,10}/*.mjs; do
  [ -f "$module" ] || continue
  node --check "$module"
done
