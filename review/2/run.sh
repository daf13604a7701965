#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
exec env PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/../common/run.py" "$(dirname "$0")/case.py"
