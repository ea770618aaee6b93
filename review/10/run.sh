#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
number=$(basename "$here")
[ -x target/bin/pomelotrayd ] && [ -x "target/review-2/case-$number" ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "target/review-2/case-$number" "$folder" "$here/record.txt"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp -r "$folder" "$KEEP_LOGS"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
