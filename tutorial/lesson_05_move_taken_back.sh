#!/usr/bin/env bash
# Lesson 5: a bad version. Upstreams of a new version that fail one sub-request in ten start beside the old ones. The
# document asks for the new version, a small share of the queries goes to it, and the move is taken back.
set -euo pipefail
cd "$(dirname "$0")/.."
. tutorial/start
cat > "$run/bad.yaml" <<'PLAN'
address: 127.0.0.1
first-port: 22000
entries: ["127.0.0.1:8100"]
groups:
  - {service: pilot-desk-1, version: "2", data-centres: [gdynia, hel], upstreams: 8, shards: 48, replicas: 2, slots: 8, connection-limit: 25, latency: 3ms, jitter: 2ms, fail-share: 10%}
PLAN
build/hickoryspur-load --entry 127.0.0.1:8100 --entry 127.0.0.1:8101 --token try-out-token-pilots \
  --service pilot-desk-1 --rate 40 --connections 16 --duration 100 > "$run/load" &
load=$!
start_upstreams "$run/bad.yaml"
sleep 2
sed '/name: pilot-desk-1$/,/version:/s/wanted: "1", within: 30m/wanted: "2", within: 3m/' \
  examples/zatoka/document.yaml > "$run/next.yaml"
operator submit "$run/next.yaml" --after "$(last_of trial)" --wait
operator promote --digest "$(last_of trial | cut -d: -f2)" --after "$(last_of production)" --wait
operator moves --service pilot-desk-1 --watch --patience 90 || echo "(exit $?)"

# Callers see few failures, since failed sub-requests are retried on other replicas of the same version.
kill $load 2>/dev/null || true
query try-out-token-pilots pilot-desk-1 | grep -o '"coverage":{[^}]*}'
