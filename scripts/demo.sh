#!/usr/bin/env bash
# The main job on the stand-ins, for one deployment or both. Usage: demo.sh [umthunzi|bodegas]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/demo.py "$@"
