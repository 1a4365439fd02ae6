#!/usr/bin/env bash
# Runs a deployment as separate processes on loopback: the platform, the searchers of
# each failure domain and 5 entry instances. Ctrl-C stops all of them.
# Usage: scripts/local.sh [kinoko|restrepo]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-kinoko}
bin=$(mktemp -d)
pids=()
finish() { kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$bin"; }
trap finish EXIT
go build -o "$bin" ./cmd/geraniumrouter ./cmd/geraniumstandin
"$bin/geraniumstandin" platform --deployment "$deployment" & pids+=($!)
for domain in d1 d2 d3 d4; do
  "$bin/geraniumstandin" upstream --deployment "$deployment" --failure-domain "$domain" & pids+=($!)
done
for i in 1 2 3 4 5; do
  "$bin/geraniumrouter" serve --settings "examples/$deployment/entry-$i.ini" & pids+=($!)
done
for _ in $(seq 50); do "$bin/geraniumrouter" status >/dev/null 2>&1 && break; sleep 0.1; done
for preset in ordinary peak maintenance; do
  "$bin/geraniumrouter" preset put "examples/$deployment/$preset.json"
done
"$bin/geraniumrouter" preset switch ordinary
echo "running; try: go run ./cmd/geraniumrouter query $([ "$deployment" = kinoko ] && echo dispatch || echo certificates)"
wait
