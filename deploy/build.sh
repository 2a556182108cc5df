#!/bin/sh
# Installs the program and its libraries in target/deps.
#
# The new tree is built aside and exchanged with the old one in one step, so
# that a process that starts meanwhile finds one of them complete.
set -eu
cd "$(dirname "$0")/.."

new=target/deps.$$
mkdir -p target
trap 'rm -rf "$new"' EXIT
rm -rf "$new"
if [ target/deps/installed -nt requirements/runtime.txt ]; then
  # Unchanged libraries are linked instead of copied.
  cp -Rl target/deps "$new" 2>/dev/null ||
    { rm -rf "$new" && cp -Rp target/deps "$new"; }
else
  python3 -m pip install -q --require-hashes --target "$new" \
    -r requirements/runtime.txt
  touch "$new/installed"
fi
rm -rf "$new"/lycheerock "$new"/lycheerock_*
cp -R packages/model/src/lycheerock_model \
  packages/protocol/src/lycheerock_protocol \
  packages/daemon/src/lycheerock "$new"
# Compiled modules save a restarted process 0.1 s; the tree is read-only there.
python3 -m compileall -q "$new/lycheerock" "$new/lycheerock_model" \
  "$new/lycheerock_protocol"
python3 deploy/exchange.py "$new" target/deps
