#!/usr/bin/env bash
# Jobs: memory of accepting 620,000 items; store calls per 1,000 items and a chunk; recovery after a kill; slopes by jobs and items;
# calls a second after an outage. Times are virtual, so the figures but processor time don't depend on the machine's load.
# Usage: ./build.sh measure jobs [--measure accept|calls|recovery|slopes|return] [--kills N]
set -euo pipefail
cd "$(dirname "$0")/../.."
exec build/bin/jobbench "$@"
