#!/usr/bin/env bash
# Membership in real processes on loopback: detection of a killed process, cost a process. Usage: [PROCESSES [KILLS]]
set -euo pipefail
cd "$(dirname "$0")/../.."
exec python3 scripts/measure/membership_processes.py "$@"
