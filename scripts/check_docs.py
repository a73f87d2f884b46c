#!/usr/bin/env python3
"""Checks that docs/ lists every result code, log event and setting of the code."""
import re
import sys

problems = []


def require(path, names):
    text = open(path, encoding="utf-8").read()
    for name in names:
        if name not in text:
            problems.append(f"{path} does not contain {name}")


def numbered(path):
    return [f"| {number} | `{name}` |" for name, number in re.findall(r"^    (\w+) = (\d+),", open(path).read(), re.M)]


require("docs/RESULT-CODES.md", numbered("include/acaciagauge/detail/common/result.hpp"))
require("docs/LOG-EVENTS.md", numbered("src/daemon/log.hpp"))
settings = open("src/daemon/settings.cpp").read()
keys = re.findall(r'\{\s*"(\w+)",\s*"(\w+)",\s*"([^"]*)",\s*([\d.]+),\s*([\d.]+),', settings)
require("docs/SETTINGS.md", [f"| {section} | `{key}` | {default or 'required'} |" for section, key, default, _, _ in keys])
for problem in problems:
    print(problem)
print("docs: clean" if not problems else f"docs: {len(problems)} problems")
sys.exit(bool(problems))
