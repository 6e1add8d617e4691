#!/usr/bin/env bash
# Many clients begin a chunked body, stop just short of its end and stay open. Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/persimmon-edge ] || go build -ldflags=-linkmode=external -o target/ ./cmd/persimmon-edge || exit 2
[ -x target/review3 ] || go build -tags review -o target/review3 ./review/stand3 || exit 2
exec target/review3 crowd review/13
