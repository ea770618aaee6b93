#!/usr/bin/env bash
# The write of a job is carried out late; the client gives up and cancels before. See claim.txt. TROUBLE=0: the write is
# answered at once.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/cases-3 ] && [ -x target/bin/pomelotrayd ] || exit 2
target/bin/cases-3 late-job review/13
