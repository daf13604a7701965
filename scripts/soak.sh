#!/usr/bin/env bash
# Longer failure runs outside CI: scripts/soak.sh MINUTES SEED, over the programs in build/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tests/e2e/soak.py "${1:?minutes}" "${2:?seed}"
