#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
# With TROUBLE=0 the script plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 -S review/15/script.py
