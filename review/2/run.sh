#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" roster-answer-lost "$(dirname "$0")"
