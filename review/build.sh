#!/bin/sh
# Builds what the scripts start besides the build of the deploy file: the
# stand-ins are Python of the standard library, so they are only compiled.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q stand_ins [1-5]
