#!/usr/bin/env bash
# Lesson 1: one query. Starts three hosts and stand-in upstreams of two services. A caller sends a query to one of the
# hosts, which sends a sub-request to one replica of every shard.
set -euo pipefail
cd "$(dirname "$0")/.."
. tutorial/start

# A caller first gets the list of entries from any host, and may use it for valid_ms milliseconds.
curl -s "http://127.0.0.1:8100/v1/entries?service=pilot-desk-1"
echo

# The answer names its snapshot, and its coverage counts the shards of the shard map.
query try-out-token-pilots pilot-desk-1 | sed 's/,"shards":{"0"/\n  "shards":{"0"/' | cut -c1-300
