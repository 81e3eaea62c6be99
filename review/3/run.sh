#!/usr/bin/env bash
# With TROUBLE=0 the case does the same without its disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case" "$(dirname "$0")"
