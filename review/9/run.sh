#!/usr/bin/env bash
# Plays the case; needs the build of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
for program in target/persimmon-edge target/review2/stand2; do
  [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review2/stand2 poison "$folder"
