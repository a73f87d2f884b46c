#!/usr/bin/env bash
# Exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0: without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
