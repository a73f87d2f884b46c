#!/bin/sh
# Builds the stand-ins that the scripts of this review start: Python modules, which are only checked for errors.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' standins3.py [0-9]*/case.py
