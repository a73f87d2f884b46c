#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10. They are Python programs (review/standins2.py and case.py in
# each folder) that need only the standard library, so there is nothing to compile: this only checks them.
cd "$(dirname "$0")" || exit 1
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in [pathlib.Path("standins2.py"), *sorted(pathlib.Path().glob("*/case.py"))]:
    ast.parse(path.read_text(), str(path))
print("the stand-ins are ready")
PYTHON
