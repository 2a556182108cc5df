#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -S review/14/script.py
