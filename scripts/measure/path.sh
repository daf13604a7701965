#!/usr/bin/env bash
# The path of a question: time to first token through the nodes against straight to the engine stand-in, taking turns in one run;
# then requests a second and CPU time a request. Options: scripts/measure/path.py --help
set -euo pipefail
cd "$(dirname "$0")/../.."
exec python3 scripts/measure/path.py "$@"
