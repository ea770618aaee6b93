#!/usr/bin/env bash
# A queue's route is removed and added again, for another service. See claim.txt. TROUBLE=0: no change of routes.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/cases-3 ] && [ -x target/bin/pomelotrayd ] || exit 2
target/bin/cases-3 moved-route review/11
