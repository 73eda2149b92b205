#!/bin/sh
# The stand-ins are plain modules without dependencies; they only have to be readable.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [1-9]/*.mjs; do
  node --check "$file"
done
