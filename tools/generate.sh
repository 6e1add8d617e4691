#!/usr/bin/env bash
# Generates Go code from schema/NAME.yaml into OUT/NAME_gen.go.
# Usage: generate.sh OUT NAME...
set -euo pipefail
out=$1
shift
for name in "$@"; do
  go tool -modfile=tools/go.mod go-jsonschema --only-models --tags json --extra-imports --disable-custom-types-for-maps \
    --struct-name-from-title --capitalization ID,URL,KV,MS,TTLMS,JSON,API,CPU,MB \
    --package api --output "$out/${name}_gen.go" "schema/$name.yaml"
done
