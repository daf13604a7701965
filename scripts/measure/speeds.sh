#!/usr/bin/env bash
# Answer times, use of slow engines and herding by the order of picks, and the cost of a pick and of an event.
set -euo pipefail
cd "$(dirname "$0")/../.."
build/libs/capacity/capacity_test --test-case='speeds*' "$@" | sed -n 's/.*MESSAGE: /  /p'
