#!/usr/bin/env bash
# One of ten executors goes down and up by turns. See claim.txt. TROUBLE=0: the same without that.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/cases-3 ] && [ -x target/bin/pomelotrayd ] || exit 2
target/bin/cases-3 flapping-worker review/11
