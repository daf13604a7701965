#!/usr/bin/env bash
# How long a daemon that has just been started can't take SIGHUP, and how many starts a SIGHUP at a drawn moment ends: with a warm page
# cache, and with the program and its libraries dropped from it. Options: STARTS
set -euo pipefail
cd "$(dirname "$0")/../.."
exec python3 scripts/measure/early_signals.py build/platform/jjserve "$@"
