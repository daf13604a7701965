#!/usr/bin/env bash
# Fails when docs/INVARIANTS.md names a test that CTest does not list, or a file that does not exist, or a state that is none of
# proved, partly, not proved. Usage: check-invariants.sh [BUILD]
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f docs/INVARIANTS.md ] || exit 0
ctest --test-dir "${1:-build}" -N | python3 -c '
import os, re, sys

known = {m.group(1) for m in (re.match(r"\s*Test\s+#\d+: (.*)$", line) for line in sys.stdin) if m}
faults = []
rows = 0
for number, line in enumerate(open("docs/INVARIANTS.md"), 1):
    cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
    if not line.startswith("|") or len(cells) != 5 or cells[0] in ("promise or failure", "---"):
        continue
    rows += 1
    promise, mechanism, files, tests, state = cells
    if not re.match(r"(proved|partly|not proved)\b", state):
        faults.append(f"line {number}: state \"{state}\"")
    for name in re.findall(r"`([^`]+)`", files):
        if not os.path.exists(name):
            faults.append(f"line {number}: no file {name}")
    for name in re.findall(r"`([^`]+)`", tests):
        if name not in known:
            faults.append(f"line {number}: no test \"{name}\"")
    if state.startswith("proved") and "`" not in tests:
        faults.append(f"line {number}: proved without a test")
print("\n".join(faults) if faults else f"invariants: {rows} rows, every file and test exists")
sys.exit(1 if faults or not rows else 0)
'
