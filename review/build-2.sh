#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
read -ra library <<<"$(pkg-config --cflags --libs cpp-httplib)"
for source in review/world-2/*.cc; do
  g++ -std=c++17 -O1 -I. -c "$source" -o "target/review-2/$(basename "$source" .cc).o" &
done
wait
for case in review/[0-9]*/case.cc; do
  number=$(basename "$(dirname "$case")")
  [ "$number" -ge 6 ] || continue
  g++ -std=c++17 -O1 -I. "$case" target/review-2/*.o -o "target/review-2/case-$number" "${library[@]}" -pthread
done
