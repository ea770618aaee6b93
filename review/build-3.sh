#!/usr/bin/env bash
# Builds the program that plays the cases 11 to 15, with its stand-ins, into target/bin/cases-3. It needs the packages of
# the deploy file only. target/bin/pomelotrayd comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/bin
g++ -std=c++17 -O2 -pthread -I . -o target/bin/cases-3 review/world-3/*.cc
