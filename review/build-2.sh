#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/stand2 ./review/stand2/platform
