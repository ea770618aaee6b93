#!/usr/bin/env bash
# Plays the case $1 with the stand-ins and writes the record into the folder $2. Used by the run.sh of the cases.
set -uo pipefail
name=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
if [ ! -x target/bin/pomelotrayd ] || [ ! -x target/review/world ]; then
  echo "Build first: the build command of deploy/system.toml, then review/build.sh."
  exit 2
fi
scratch=$(mktemp -d)
world=
# shellcheck disable=SC2317
clean_up() {
  [ -z "$world" ] || kill "$world" 2>/dev/null
  if [ -s "$scratch/pids" ]; then
    while read -r pid; do
      kill -KILL "$pid" 2>/dev/null
    done <"$scratch/pids"
  fi
  rm -rf "$scratch"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
target/review/world "$name" "$folder/record.txt" "$scratch" &
world=$!
wait "$world"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
