#!/usr/bin/env bash
# Runs the property tests of test_ownership with consecutive seeds for a number of seconds. On failure, prints the seed
# and a minimized counterexample. Usage: fuzz.sh [SECONDS [FIRST_SEED]]
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
seconds=${1:-60}
seed=${2:-1}
end=$((SECONDS + seconds))
cases=0
while [ "$SECONDS" -lt "$end" ]; do
    log=$(mktemp)
    if ! RC_PARAMS="seed=$seed max_success=200" "$BUILD/tests/test_ownership" >"$log" 2>&1; then
        echo "failed with seed $seed; rerun with: RC_PARAMS=\"seed=$seed max_success=200\" $BUILD/tests/test_ownership"
        cat "$log"
        exit 1
    fi
    rm -f "$log"
    seed=$((seed + 1))
    cases=$((cases + 200))
done
echo "$cases cases passed; the next seed is $seed"
