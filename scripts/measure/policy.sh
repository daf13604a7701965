#!/usr/bin/env bash
# All policies on the same traces and engine model, the frontier, and the CPU time of a decision. Arguments go to jjpolicy.
set -euo pipefail
cd "$(dirname "$0")/../.."
readonly OUT="${OUT:-build/measure}"
mkdir -p "$OUT"
build/bin/jjpolicy --threads "${JOBS:-$(nproc)}" --json "$OUT/policy.json" --page "$OUT/policy.html" "$@"
build/bin/decisionbench --benchmark_min_time=0.1 --benchmark_out="$OUT/decisions.json" --benchmark_out_format=json
echo "written: $OUT/policy.json $OUT/policy.html $OUT/decisions.json"
