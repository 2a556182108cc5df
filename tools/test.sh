#!/usr/bin/env bash
# Runs all tests. The seed makes every run of hypothesis the same.
set -u
SEED=${SEED:-20261204}
echo "hypothesis seed: $SEED"
status=0
"$BIN/pytest" --hypothesis-seed="$SEED" || status=1
"$BIN/behave" --no-color --format progress3 features || status=1
exit "$status"
