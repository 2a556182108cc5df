#!/bin/sh
# Prepares what the scripts of cases 6 to 10 start. The stand-ins are Python
# modules that run from their source with the libraries in target/deps, so
# compiling them is all that there is to do. The build of the deploy file comes
# before.
set -eu
cd "$(dirname "$0")/.."
test -e target/deps/installed
python3 -m compileall -q review/harness_2 packages/bench/src/lycheerock_bench
