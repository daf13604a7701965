#!/usr/bin/env bash
# What a host sends, receives, knows and does in fleets of 100 to 2,000 hosts with ten engines each (virtual time).
# Options go to the program: build/bin/fleetscale --help
set -euo pipefail
cd "$(dirname "$0")/../.."
exec build/bin/fleetscale "$@"
