#!/usr/bin/env bash
# The platform's own names stand in platform/ and deploy/ only: the product must not know whose platform it runs on.
set -euo pipefail
cd "$(dirname "$0")/.."

# Headers, paths, fields and words that no other protocol of ours uses. Common words (name, state, id) can't be distinguished and are left out.
readonly NAMES=(
  'X-Jayjunction-' '/lots/' '"/items/' '"/objects/' 'staleOk' 'waitMs=' '"hasMore"' '"createdRev"' '"finalizers"' 'finishByS' '"retirements'
  '"servers/' 'config/main' '"pathPrefix"' '"targetLatencyMs"' '"gapAimMs"' '"runTargetMs"' '"maxWaitS"' '"maxConns"' '"healthPath"' '"coldLeftMs"'
  'kvCapacity' '"maxHeaderBytes"' '"maxBodyBytes"' '"headerTimeoutMs"' '"idleTimeoutMs"' 'nodeName' 'machineClass' 'internalPorts' 'inFaultBudget'
  'apiKeys' 'ratePerS' 'quotaWindowS' 'quotaSlack' 'faultTolerance' 'seedLagS' 'addrReuseS' 'stableMs' 'catchUpS' 'drainMs' 'graceS' 'configApplyMs' 'recoveryS' 'settleMs' 'non_idempotent'
)
found=0
for name in "${NAMES[@]}"; do
  if hits=$(git grep -nF -- "$name" -- libs tools fakes samples tests 2>/dev/null); then
    echo "the platform's name $name outside platform/ and deploy/:"
    echo "$hits"
    found=1
  fi
done
[ "$found" -eq 0 ] && echo "platform names: only in platform/ and deploy/"
exit "$found"
