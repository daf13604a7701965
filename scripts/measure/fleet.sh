#!/usr/bin/env bash
# Times that only a whole fleet shows: a configuration in force everywhere, a drain under load, an idle node's cost.
# Usage: ./build.sh measure fleet [NODES] [CHANGES]
set -euo pipefail
cd "$(dirname "$0")/../.."
exec python3 scripts/measure/fleet.py "$@"
