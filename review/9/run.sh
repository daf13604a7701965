#!/bin/sh
# See claim.txt. TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py "$PWD"
