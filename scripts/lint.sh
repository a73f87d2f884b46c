#!/usr/bin/env bash
# Runs clang-tidy on the core library, acaciagaugectl, and the daemon's settings and directory.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
ls src/core/*/*.cpp src/ctl/*.cpp src/daemon/settings.cpp src/daemon/directory.cpp \
    | xargs -P"$(nproc)" -n1 clang-tidy --quiet -p "$BUILD" --warnings-as-errors='*' 2>/dev/null && echo "lint: clean"
