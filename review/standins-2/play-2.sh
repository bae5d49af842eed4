#!/usr/bin/env bash
# Plays one case: play-2.sh CASE RECORD, where RECORD is the file for what was sent,
# answered and run. It starts the entry VMs with the command of
# deploy/system.toml once the stand-ins have written their settings, and ends all of them.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -uo pipefail
name=$1 record=$2
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dotterelridge ] && [ -x target/standins-2 ] || { echo "build first" >&2; exit 2; }
shared=$(mktemp -d) || exit 2
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$shared"
}
trap finish EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/standins-2 -dir "$shared" -case "$name" -trouble=$trouble -record "$record" &
standins=$!
pids+=("$standins")
for _ in $(seq 100); do [ -e "$shared/ready" ] && break; sleep 0.1; done
for settings in "$shared"/edge-*.json; do
  [ -e "$settings" ] || exit 2
  target/dotterelridge edge -settings "$settings" >"${settings%.json}.log" 2>&1 &
  pids+=("$!")
  echo "$!" >"${settings%.json}.pid"
done
for _ in $(seq 110); do
  kill -0 "$standins" 2>/dev/null || break
  sleep 1
done
kill -0 "$standins" 2>/dev/null && exit 2
wait "$standins"
code=$?
[ -n "${LOGS:-}" ] && cp "$shared"/*.log "$LOGS"/
exit $code
