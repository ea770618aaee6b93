#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" lasting-done "$(dirname "$0")"
