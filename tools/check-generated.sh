#!/usr/bin/env bash
# Fails if the committed code in api/ differs from what schema/ generates.
# Usage: check-generated.sh NAME...
set -euo pipefail
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
./tools/generate.sh "$tmp" "$@"
for name in "$@"; do
  diff -u "api/${name}_gen.go" "$tmp/${name}_gen.go"
done
