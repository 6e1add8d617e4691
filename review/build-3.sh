#!/usr/bin/env bash
# Builds the program of what REPORT-3.md shows beside the cases; no case starts it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review3 ./review/stand3/platform

# The stand-ins of the cases 11 to 14; the lines above belong to an earlier review.
(cd "$(dirname "$0")/.." && go build -tags review -o target/review-world3 ./review/world3/platform) || exit 1
