#!/bin/sh
# Bundles an entry for the platform into target/, from sources alone.
set -eu
[ node_modules -nt package-lock.json ] || npm ci --silent --no-audit --no-fund
aliases=""
for name in core config decisions direct ports; do
  aliases="$aliases --alias:@hazelford/$name=./packages/$name/src/index.ts"
done
# shellcheck disable=SC2086
exec npx esbuild platform/src/main.ts --bundle --platform=node --target=node20 --format=cjs --minify \
  --legal-comments=none --log-level=warning --outfile=target/hazelford-entry.cjs $aliases
