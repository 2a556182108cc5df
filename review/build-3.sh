#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python sources that need
# the standard library only, so this checks that the interpreter accepts them.
cd "$(dirname "$0")/.." || exit 2
for source in review/harness_3/*.py review/1[1-5]/*.py; do
  [ -f "$source" ] || continue
  python3 -S -c '
import pathlib, sys
compile(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8"), sys.argv[1], "exec")
' "$source" || exit 1
done
