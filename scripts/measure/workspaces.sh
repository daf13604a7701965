#!/usr/bin/env bash
# What keys and quotas cost a host, and the simulated fleet's patterns with their figures.
set -euo pipefail
cd "$(dirname "$0")/../.."
build/bin/workspacebench "$@"
build/bin/quotaexplore
build/libs/workspaces/workspaces_test --test-case='quotas*' | sed -n 's/.*MESSAGE: /  /p'
