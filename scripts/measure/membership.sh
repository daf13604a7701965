#!/usr/bin/env bash
# Membership: detection, false suspicions, cost a node, spread of marks and configuration versions (virtual time, CPU is real).
# Options go to the program: build/bin/membershipbench --help
set -euo pipefail
cd "$(dirname "$0")/../.."
exec build/bin/membershipbench "$@"
