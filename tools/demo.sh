#!/usr/bin/env bash
# Starts a local deployment, sends a search and a booking, and stops it again.
# With KEEP=1 the deployment runs until Ctrl-C. `make demo` sets BIN, the
# directory of the programs, and LOCAL, the directory for settings and logs.
set -eu
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
}
trap stop EXIT
"$BIN/lycheerock-bench" write-local --directory "$LOCAL"
"$BIN/lycheerock-bench" platform --address 127.0.0.1:18000 & pids+=($!)
"$BIN/lycheerock-bench" targets --bundle "$LOCAL/bundle.json" & pids+=($!)
for settings in "$LOCAL"/i*.json; do
  "$BIN/lycheerock" "$settings" >"${settings%.json}.log" 2>&1 & pids+=($!)
done
"$BIN/lycheerock-bench" run-demo --directory "$LOCAL"
if [ "${KEEP:-0}" = 1 ]; then
  echo "Running; press Ctrl-C to stop. Logs are in $LOCAL."
  wait
fi
