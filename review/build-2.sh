#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into build/review-2/. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standin-2/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-g++}" -O2 -std=c++20 -Wall -Wextra -pthread "$source" -o "build/review-2/$name"
done
