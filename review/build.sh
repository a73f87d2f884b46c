#!/usr/bin/env bash
# Prepares what the scripts of review/ start. The stand-ins are Python (standard library only); the daemon comes from the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for it in review/standins.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it"
done
test -x target/acaciagauged || { echo "target/acaciagauged is missing: run the build of deploy/system.toml" >&2; exit 1; }
