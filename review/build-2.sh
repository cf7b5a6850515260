#!/bin/sh
# Checks the stand-ins of the cases 4 and later. They are plain JavaScript modules and need no build.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
