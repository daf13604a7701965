#!/usr/bin/env bash
# Ways to divide slot time between workspaces on a simulated fleet, against each other and against the optimum, and what a claim costs.
set -euo pipefail
cd "$(dirname "$0")/../.."
build/bin/sharefleet "$@"
