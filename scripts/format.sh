#!/usr/bin/env bash
# Checks the formatting of all C++ files with clang-format; with --fix, formats them.
set -u
cd "$(dirname "$0")/.."
. scripts/sources.sh
if [ "${1:-}" = --fix ]; then
    sources | xargs clang-format -i
    exit
fi
sources | xargs clang-format --dry-run -Werror && echo "format: clean"
