#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O1 -I. review/world/*.cc -o target/review/world -pthread
