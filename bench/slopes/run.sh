#!/usr/bin/env bash
# Measures all series with real nodes and stand-ins in a few processes, and writes the
# report. The size is bounded: at most 100 nodes and 1,200 engines, about 15 s per step.
# Usage: run.sh REPORT
set -euo pipefail
cd "$(dirname "$0")/../.."
report=$1
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/slopes" ./bench/slopes
# Two periods of the slowest poll, which the idle series need and the loaded ones don't.
warm=8s
time=10s

# step SERIES X NODES STANDIN-FLAGS...: prints one sample to standard output.
step() {
  local series=$1 x=$2 nodes=$3
  shift 3
  "$bin/slopes" standins --for 40s "$@" >"$bin/addresses" 2>>"$bin/errors" &
  local standins=$!
  until [ -s "$bin/addresses" ]; do sleep 0.1; done
  "$bin/slopes" nodes --series "$series" --x "$x" --count "$nodes" --warm $warm --for $time \
    --log-url "$(field log_url)" --cloud-url "$(field cloud_url)" --register-url "$(field register_url)" \
    --caller-port "${port:-0}"
  kill "$standins" 2>/dev/null || true
  wait "$standins" 2>/dev/null || true
  rm -f "$bin/addresses"
}

# data SERIES X RATE TOKENS: prints one sample of a node under load.
data() {
  local series=$1 x=$2 rate=$3 tokens=$4
  "$bin/slopes" callers --target http://127.0.0.1:18999 --rate "$rate" --tokens "$tokens" --for 14s 2>>"$bin/errors" &
  local callers=$!
  port=18999 step "$series" "$x" 1 --instant
  wait "$callers" || true
}

field() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" "$bin/addresses"; }

{
  for n in 5 20 100; do step nodes $n $n; done
  for e in 12 120 1200; do step engines $e 5 --engines $e; done
  for w in 5 50 200; do step workspaces $w 5 --workspaces $w; done
  warm=4s
  time=6s
  for p in 0.5 2 8; do step patches_per_second $p 5 --patches-per-second $p; done
  for c in 0.2 1 4; do step changes_per_second $c 5 --changes-per-second $c; done
  for r in 50 200 800; do data requests_per_second $r $r 1; done
  for k in 8 64 256; do data tokens_per_second $((k * 50)) 50 $k; done
} | tee /dev/stderr | "$bin/slopes" fit --output "$report"
if [ -s "$bin/errors" ]; then
  echo "slopes: faults of the run:" >&2
  sort "$bin/errors" | uniq -c | tail -20 >&2
fi
