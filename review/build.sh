#!/usr/bin/env bash
# Builds every stand-in that a script of review/ starts, into target/review/. Needs g++ and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
