#!/usr/bin/env bash
# Fails when jjserve writes a log line that docs/OPERATIONS.md doesn't explain, or the page explains one that is never written: an
# on-call engineer who meets an event looks it up there. Names stand in line("..."), and in tables and choices of names that are camelCase.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
import re
import sys

folders = ["libs/serving/src", "libs/ledger/src", "libs/process/src", "platform"]
sources = "\n".join(path.read_text() for folder in folders for path in sorted(pathlib.Path(folder).glob("*.[ch]*")))
rows = [line.split("|")[1] for line in pathlib.Path("docs/OPERATIONS.md").read_text().splitlines() if line.startswith("| `")]
explained = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
written = set(re.findall(r'\b(?:line|writeFinalLine)\("(\w+)"', sources))
for choice in re.findall(r'\bline\(([^;()]*\?[^;()]*)\)', sources) + re.findall(r'names\[\] = \{([^}]*"(?:job|kept|verdict)[A-Z][^}]*)\}', sources):
    written |= set(re.findall(r'"(\w+)"', choice))
faults = [f"written and not explained: {name}" for name in sorted(written - explained)]
faults += [f"explained and not written: {name}" for name in sorted(explained) if f'"{name}"' not in sources]
print("\n".join(faults) if faults else f"events: all {len(written)} kinds of log line are explained")
sys.exit(1 if faults else 0)
PYTHON
