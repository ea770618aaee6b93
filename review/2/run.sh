#!/usr/bin/env bash
# TROUBLE=0 plays the same without the disruption.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../run-case.sh" roster-answer-lost "$(dirname "$0")"
