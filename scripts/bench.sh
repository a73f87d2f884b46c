#!/usr/bin/env bash
# Runs all benchmarks and prints their results.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
for name in unavailable placement admission spread selection slopes; do
    printf '\n## %s\n\n' "$name"
    "$BUILD/acaciagauge_bench" "$name"
done
printf '\n## path\n\n'
BUILD=$BUILD scripts/bench_path.sh
